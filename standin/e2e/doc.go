// Package e2e contains tests that run the real programs as processes, with the fault proxy
// between them. Tests wait for conditions and do not assert on time.
package e2e
