// Package e2e holds tests that run the real programs as processes, with the
// fault proxy between them. Conditions are awaited; no test asserts on time.
package e2e
