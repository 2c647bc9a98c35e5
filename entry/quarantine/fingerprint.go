package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Kind is what the requests with a fingerprint have in common.
type Kind uint8

// Kinds of fingerprints.
const (
	KindRequest Kind = iota // they are equal, see Identity
	KindContent             // they have the same content, whatever their team and target
	KindPart                // their prompts have a part in common that is not the last one
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{KindRequest, KindContent, KindPart} }

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"request", "content", "part"}[k] }

// maxParts is the number of parts of a prompt that are considered, from the first one.
const maxParts = 8

// digest is a truncated SHA-256 sum, because it must be infeasible to construct a request
// that has a fingerprint of another one.
type digest [16]byte

// Fingerprint identifies all requests that have something in common.
type Fingerprint struct {
	Kind   Kind
	digest digest
}

// String returns the kind and the digest in hexadecimal.
func (f Fingerprint) String() string { return f.Kind.String() + ":" + hex.EncodeToString(f.digest[:]) }

// Uint64 returns a part of the digest.
func (f Fingerprint) Uint64() uint64 { return binary.BigEndian.Uint64(f.digest[:]) }

// Identity holds the properties of a request that may be the reason why it brings down
// backend servers.
type Identity struct {
	Team   string
	Method string
	Host   string
	Target string // path with query
	// Prompt holds the ids of the parts of the prompt in their order, empty if the caller
	// does not name them. The last part belongs to the request itself, or to its session.
	Prompt []string
	Body   []byte
}

// Fingerprints returns the fingerprints of the request: that of KindRequest first, those of
// the parts of its prompt last and in their order. Its content is the last part of the prompt
// or, without one, the body.
func (i Identity) Fingerprints() []Fingerprint {
	body := sum(i.Body)
	out := []Fingerprint{i.request(body)}
	if len(i.Prompt) == 0 {
		if len(i.Body) > 0 {
			out = append(out, Fingerprint{Kind: KindContent, digest: body})
		}
		return out
	}
	own := i.Prompt[len(i.Prompt)-1]
	out = append(out, Fingerprint{Kind: KindContent, digest: sum([]byte(own))})
	return append(out, Parts(i.Prompt)...)
}

// Parts returns the fingerprints of the parts of a prompt but the last one.
func Parts(prompt []string) []Fingerprint {
	shared := max(0, min(len(prompt)-1, maxParts))
	out := make([]Fingerprint, 0, shared)
	for _, part := range prompt[:shared] {
		out = append(out, Fingerprint{Kind: KindPart, digest: sum([]byte(part))})
	}
	return out
}

func (i Identity) request(body digest) Fingerprint {
	return Fingerprint{Kind: KindRequest, digest: sum([]byte(i.Team), []byte(i.Method), []byte(i.Host), []byte(i.Target), body[:])}
}

// sum returns the digest of a list of parts.
func sum(parts ...[]byte) (out digest) {
	h := sha256.New()
	for _, part := range parts {
		addPart(h, part)
	}
	copy(out[:], h.Sum(nil))
	return out
}

// addPart adds the part prefixed with its length, so that different lists of parts never
// produce the same input.
func addPart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = sum.Write(length[:]) // never fails
	_, _ = sum.Write(part)
}
