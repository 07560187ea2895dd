package agentd

// maxIdleCallers bounds the goroutines that wait for the next call. Each holds a
// stack of some kilobytes.
const maxIdleCallers = 8

// callers runs blocking calls on goroutines that it uses again. The stack of a new
// goroutine has to grow several times before it holds a call of the HTTP client, which
// costs more than the call's own work.
type callers struct {
	// calls hands a call over to an idle goroutine; it has no buffer.
	calls chan func()
	// idle has an element for each goroutine that may wait.
	idle chan struct{}
	done chan struct{}
}

func newCallers() *callers {
	return &callers{calls: make(chan func()), idle: make(chan struct{}, maxIdleCallers), done: make(chan struct{})}
}

// run runs call on an idle goroutine, or on a new one if there is none. It does not
// block.
func (c *callers) run(call func()) {
	select {
	case c.calls <- call:
	default:
		go c.work(call)
	}
}

func (c *callers) work(call func()) {
	for {
		call()
		select {
		case c.idle <- struct{}{}:
		default:
			return
		}
		select {
		case call = <-c.calls:
			<-c.idle
		case <-c.done:
			<-c.idle
			return
		}
	}
}

// close ends the idle goroutines. Calls in progress, and later ones, run to their end.
func (c *callers) close() { close(c.done) }
