package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint identifies equal requests: those of one team with the same method, host,
// target and body. It is a truncated SHA-256 sum, because it must be infeasible to
// construct a request that has the fingerprint of another one.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Identity holds the properties in which equal requests agree.
type Identity struct {
	Team   string
	Method string
	Host   string
	Target string // path with query
	Body   []byte
}

// Fingerprint returns the fingerprint of all requests with this identity.
func (i Identity) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{i.Team, i.Method, i.Host, i.Target} {
		addPart(sum, []byte(part))
	}
	addPart(sum, i.Body)
	return Fingerprint(sum.Sum(nil)[:len(Fingerprint{})])
}

// addPart adds the part prefixed with its length, so that different lists of parts never
// produce the same input.
func addPart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = sum.Write(length[:]) // never fails
	_, _ = sum.Write(part)
}
