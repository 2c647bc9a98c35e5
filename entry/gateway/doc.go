// Package gateway serves callers whose requests go straight to backend servers,
// without an agent between.
//
// A request is matched to a route, its key to a team, and then attempted at one
// backend server after another until there is an answer or retry.Sequence ends
// it. What the caller is told follows from what is known: a refusal says
// "not run" only if no attempt can have run, otherwise the outcome is unknown.
//
// Answers are buffered up to a bound, so that one that breaks off can be
// attempted again while the caller has seen nothing of it. Streams are passed
// on event by event; if the route allows it, a stream that breaks off goes on
// at another backend server within the same answer. An answer that cannot be
// finished is aborted visibly.
//
// How callers, backend servers and operators spell all this is a Protocol's and
// a Source's matter: the package knows no header, path or document of theirs.
package gateway
