// Package proof holds tests that connect several reducers through small
// in-memory fakes under a virtual clock and inject faults between them. It
// contains only tests; docs/PROOFS.md lists what each one proves.
package proof
