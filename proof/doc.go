// Package proof holds the tests that wire several reducers together by small
// in-memory fakes with a virtual clock, and break what lies between them. It
// has no code of its own; docs/PROOFS.md lists what each test proves.
package proof
