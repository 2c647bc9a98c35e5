// Package quarantine identifies requests that bring down the backend servers they run
// on, tells them apart from requests whose server ended for another reason, and decides
// which requests must not be sent to another server.
//
// # Suspects
//
// What brings a server down may be the request as a whole, its content, or a part of its
// prompt that other requests hold too. A request has a fingerprint for each of them (see
// Kind), and each fingerprint has its own record. The worst of them decides.
//
// # What counts as evidence
//
// The end of a backend server counts against a fingerprint if all of the following hold:
//
//   - An attempt at such a request was in progress on the server, and its connection broke
//     before the answer was complete. An answer that ends with its connection is complete
//     only if its server still accepts connections.
//   - The server's process has ended: its host refused a new connection immediately
//     afterwards. A server that is stalled together with its group, is cut off from the
//     network or does not respond proves nothing.
//   - No connection to the server has outlived the supposed end: a server that refuses new
//     connections because it has too many keeps answering over the existing ones.
//   - At most one other server on which no such request was running ended at the same
//     moment: when a rack, a zone or everything fails, requests are not the cause. Servers
//     on which a request was running that is tried one at a time are not counted, as that
//     request explains their end.
//   - No other suspect that is quarantined was on the server.
//   - The attempt was sent when the ends counted so far were known. Copies of a request
//     that were in progress together count once, however many servers ended under them.
//     For this purpose each end carries the number of its round; rounds are counted, not
//     servers. Different requests with a part in common count twice at most in a round.
//
// A run that ends well is evidence to the contrary: it clears the request's fingerprints for
// clearedTTL, regardless of which servers end meanwhile. A part of prompts is cleared, for
// partClearedTTL, as soon as a server has begun to answer a request with it; that is
// remembered also while nothing is suspected, so that a part which many requests share is
// rarely a suspect.
//
// # Attribution of ends
//
// All requests on a server that ended are suspected, with all parts of their prompts, but one
// suspect is enough to explain the end. The suspect that explains the ends best is
// quarantined; what it explains counts against no other one. A repeated request is preferred
// to the parts of its prompt, and of the parts the last one, as those before it are held by
// the same requests and by sound ones. This is derived anew from the records whenever they
// change, so processes with the same records agree.
//
// # Consequences
//
// After one end, the request is still tried, on servers that run no other suspect if
// there are any; with a suspected part, each process tries one request at a time until it is
// answered or should have been. After two servers have ended, it is tried once at a time in the whole fleet (see
// minAnnounceTime), and other requests avoid its server. After three rounds, it is refused
// immediately. When the quarantine is over, it is tried once more; each further end doubles
// the duration of the quarantine.
//
// # Propagation
//
// Gateways report in heartbeats what they observed recently and, in rotation, everything that
// they know, whichever gateway observed it. A gateway that discovers another one requests its
// complete state over a link. States are merged by union, so the order and the number of
// messages do not matter. Times are sent as ages. Nothing is stored: what no process knows any
// more is lost.
//
// # Bounds
//
// A table holds up to maxRecords fingerprints with maxEnds ends each, and maxOutages ends
// of servers to compare with. Records with fewer than three ends are kept for suspectTTL
// after the last end, others for twice the duration of their quarantine.
package quarantine
