// Package quarantine identifies requests that bring down the backend servers they run
// on, tells them apart from requests whose server ended for another reason, and decides
// which requests must not be sent to another server.
//
// # What counts as evidence
//
// The end of a backend server counts against a request if all of the following hold:
//
//   - An attempt at the request was in progress on the server, and its connection broke
//     before the answer was complete.
//   - The server's process has ended: its host refused a new connection immediately
//     afterwards. A server that is stalled together with its group, is cut off from the
//     network or does not respond proves nothing.
//   - No connection to the server has outlived the supposed end: a server that refuses new
//     connections because it has too many keeps answering over the existing ones.
//   - At most one other server on which no such request was running ended at the same
//     moment: when a rack, a zone or everything fails, requests are not the cause. Servers
//     on which a request was running that is tried one at a time are not counted, as that
//     request explains their end.
//   - The attempt was sent when the ends counted so far were known. Copies of a request
//     that were in progress together count once, however many servers ended under them.
//     For this purpose each end carries the number of its round; rounds are counted, not
//     servers.
//
// Requests with a common fingerprint share their evidence: equal requests, and those with
// the same content. All requests that were on the same server have its end counted against
// them; later ends tell them apart. A run that ends well is evidence to the contrary: it
// clears the request's fingerprints for clearedTTL, regardless of which servers end
// meanwhile. An answer that ends with its connection ends well only if its server still
// accepts connections.
//
// # Consequences
//
// After one end, the request is still tried, on servers that run no other suspect if
// there are any. After two servers have ended, it is tried once at a time in the whole
// fleet (see minAnnounceTime), and other requests avoid its server. After three rounds, it
// is refused immediately. When the quarantine is over, it is tried once more; each further end
// doubles the duration of the quarantine.
//
// # Propagation
//
// Gateways report recent changes to each other in heartbeats and, in rotation, everything
// that they know, whichever gateway observed it. A gateway that discovers another one
// requests its complete state over a link. States are merged by union, so the order and the
// number of messages do not matter. Times are sent as ages. Nothing is stored: what no
// process knows any more is lost.
//
// # Bounds
//
// A table holds up to maxRecords fingerprints with maxEnds ends each, and maxOutages ends
// of servers to compare with. Records with fewer than three ends are kept for suspectTTL
// after the last end, others for twice the duration of their quarantine.
package quarantine
