package queue

// classHeap is a binary min-heap of jobs ordered by Job.key.
type classHeap []*Job

func (h *classHeap) push(j *Job) {
	*h = append(*h, j)
	j.pos = len(*h) - 1
	h.up(j.pos)
}

func (h *classHeap) remove(j *Job) {
	s := *h
	last := len(s) - 1
	i := j.pos
	s[i] = s[last]
	s[i].pos = i
	s[last] = nil
	*h = s[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h classHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].key <= h[i].key {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h classHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h[c].key < h[least].key {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h classHeap) swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos = i
	h[k].pos = k
}
