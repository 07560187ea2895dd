package httpserve

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is how often watched connections are checked.
	watchInterval = 100 * time.Millisecond
	// pollDisconnected is the set of poll(2) results of a connection whose peer has
	// closed or reset it. Unlike an end of file, POLLRDHUP is visible behind unread
	// bytes.
	pollDisconnected = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
)

// Disconnected reports whether the peer has closed or reset a connection that a
// Server accepted. It consumes no input. It returns false for any other connection.
func Disconnected(c net.Conn) bool {
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	n := 0
	ok, err := control(c, func(fd int32) {
		fds[0].Fd = fd
		n, _ = unix.Poll(fds, 0)
	})
	return ok && (err != nil || n > 0 && fds[0].Revents&pollDisconnected != 0)
}

// maxTick is assumed for the kernel's tick if its length is unknown.
const maxTick = 10 * time.Millisecond

// kernelTick returns the length of the kernel's tick, in which it counts the times of
// connections, rounded up to their unit.
var kernelTick = sync.OnceValue(func() time.Duration {
	var res unix.Timespec
	if err := unix.ClockGetres(unix.CLOCK_MONOTONIC_COARSE, &res); err != nil || res.Nano() <= 0 {
		return maxTick
	}
	return (time.Duration(res.Nano()) + time.Millisecond - 1).Truncate(time.Millisecond)
})

// UnreadTime returns how long ago the last bytes arrived from the peer of a
// connection that a Server accepted, never too short, and too long by up to a tick of the
// kernel and the time since the last one. For a handler, bytes that follow its request count
// too. It returns zero if the time is unknown.
func UnreadTime(c net.Conn) time.Duration {
	var info *unix.TCPInfo
	var infoErr error
	var lag time.Duration
	ok, err := control(c, func(fd int32) {
		lag = tickLag(unix.ClockGettime, func() {
			info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
	})
	if !ok || err != nil || infoErr != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv)*time.Millisecond + kernelTick() + lag
}

// tickLag calls read and returns how far the kernel's coarse clock, which only its ticks
// move, was behind when read was called. On a busy or virtual machine ticks come late, and
// times counted in ticks are short by as much. It returns a tick if a clock can't be read.
func tickLag(gettime func(clock int32, at *unix.Timespec) error, read func()) time.Duration {
	var ticked, now unix.Timespec
	tickedErr := gettime(unix.CLOCK_MONOTONIC_COARSE, &ticked)
	read()
	if err := gettime(unix.CLOCK_MONOTONIC, &now); err != nil || tickedErr != nil {
		return kernelTick()
	}
	return max(0, time.Duration(now.Nano()-ticked.Nano()))
}

// control calls f with the descriptor of a connection that a Server accepted. It
// returns false for any other connection, and an error for a closed one.
func control(c net.Conn, f func(fd int32)) (ok bool, err error) {
	s := socket(c)
	if s == nil {
		return false, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { f(int32(fd)) })
}

// Watch calls gone once if the peer closes or resets a connection that a Server
// accepted. It does nothing for any other connection. A handler must call stop
// before it returns. The call of gone may be in progress when stop returns.
func Watch(c net.Conn, gone func()) (stop func()) {
	w := &watch{gone: gone}
	ok, err := control(c, func(fd int32) { socket(c).watcher.add(w, fd) })
	switch {
	case !ok:
		return func() {}
	case err != nil:
		go gone()
		return func() {}
	}
	return func() { socket(c).watcher.remove(w) }
}

// CallerContext returns a context that also ends when the peer closes or resets a
// connection that a Server accepted. A handler must call cancel before it returns.
func CallerContext(parent context.Context, c net.Conn) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancel(parent)
	if Disconnected(c) {
		end()
	}
	stop := Watch(c, end)
	return ctx, func() {
		stop()
		end()
	}
}

// watcher checks all connections that are watched with one system call. It is safe
// for concurrent use.
type watcher struct {
	mu sync.Mutex
	// watches and fds have the same indices.
	watches []*watch
	fds     []unix.PollFd
	// timer is set once a connection has been watched; scheduled is set while it
	// runs.
	timer     *time.Timer
	scheduled bool
}

// watch is one watched connection. Its index is -1 once it is removed.
type watch struct {
	gone  func()
	index int
}

func (w *watcher) add(x *watch, fd int32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.index = len(w.watches)
	w.watches = append(w.watches, x)
	w.fds = append(w.fds, unix.PollFd{Fd: fd, Events: unix.POLLRDHUP})
	w.schedule()
}

func (w *watcher) remove(x *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.index >= 0 {
		w.removeAt(x.index)
	}
}

// removeAt moves the last watch to index i.
func (w *watcher) removeAt(i int) {
	last := len(w.watches) - 1
	w.watches[i].index = -1
	if i < last {
		w.watches[i], w.fds[i] = w.watches[last], w.fds[last]
		w.watches[i].index = i
	}
	w.watches[last] = nil
	w.watches, w.fds = w.watches[:last], w.fds[:last]
}

// schedule sets the timer unless it runs or nothing is watched.
func (w *watcher) schedule() {
	if w.scheduled || len(w.watches) == 0 {
		return
	}
	w.scheduled = true
	if w.timer == nil {
		w.timer = time.AfterFunc(watchInterval, w.check)
		return
	}
	w.timer.Reset(watchInterval)
}

// check calls gone for each connection that its peer has closed or reset.
func (w *watcher) check() {
	for _, x := range w.takeDisconnected() {
		x.gone()
	}
}

// takeDisconnected removes and returns the watches of connections that their peers
// have closed or reset. A descriptor stays valid during the call, because its
// handler has not returned yet.
func (w *watcher) takeDisconnected() (out []*watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduled = false
	defer w.schedule()
	if n, err := unix.Poll(w.fds, 0); n <= 0 || err != nil {
		return nil // an error such as EINTR is temporary
	}
	for i := len(w.fds) - 1; i >= 0; i-- {
		if w.fds[i].Revents&pollDisconnected != 0 {
			out = append(out, w.watches[i])
			w.removeAt(i)
		}
	}
	return out
}
