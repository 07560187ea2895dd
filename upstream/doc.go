// Package upstream implements a stand-in for the process of a service, for tests
// and trials, and defines the HTTP protocol between an agent and its upstream. The
// stand-in announces itself to the agent on its host and runs tasks as sleeps or
// processor work. Fault injection can make it slow, failing, frozen or silent. It
// keeps a journal of the tasks that it started.
package upstream
