// Package gateway serves callers whose requests go straight to backend servers, without an
// agent in between.
//
// A request is matched to a route and its key to a team. It is then attempted at one
// backend server after another until one answers or retry.Sequence ends the attempts. The
// refusal that the caller gets depends on what is known: it says "not run" only if no
// attempt can have run; otherwise the outcome is unknown.
//
// Answers are buffered up to a limit, so that an answer that breaks off can be attempted
// again as long as the caller has received no part of it. Streams are forwarded event by
// event. If the route allows it, a stream that breaks off is resumed at another backend
// server within the same answer. An answer that cannot be completed is aborted in a way
// that the caller can detect.
//
// The package knows no header names, paths or document formats of callers, backend servers
// or operators: these are defined by an Adapter and a source.Store.
package gateway
