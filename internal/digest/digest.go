// Package digest computes short hashes that identify requests for the same work.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Digest is equal for requests for the same work. It leaves out what differs between a
// caller's attempts, such as the request id and the deadline.
type Digest uint64

// Request holds the parts of a request that the digest covers.
type Request struct {
	// Team is the caller's team, empty on public routes. No team can make a request with the
	// digest of another team's request.
	Team string
	// Method, Host and URI are as the caller wrote them.
	Method, Host, URI string
	Body              []byte
}

// Of returns the request's digest. The hash is cryptographic, because callers choose their
// bodies: one that found a collision with another team's digest could have that team's
// requests refused.
func Of(r Request) Digest {
	h := sha256.New()
	var size [4]byte
	for _, part := range []string{r.Team, r.Method, r.Host, r.URI} {
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return Digest(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// OfPart returns the digest of a part of a prompt in the requests of a team, or in those of all
// teams if the team is empty.
func OfPart(team, part string) Digest {
	h := sha256.New()
	var size [4]byte
	for _, text := range []string{"part", team, part} {
		binary.BigEndian.PutUint32(size[:], uint32(len(text)))
		h.Write(size[:])
		h.Write([]byte(text))
	}
	var sum [sha256.Size]byte
	return Digest(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// OfSet returns the digest of a set of digests, which is the member of a set with only one. The
// members must be ordered.
func OfSet(members []Digest) Digest {
	if len(members) == 1 {
		return members[0]
	}
	b := []byte("set")
	for _, m := range members {
		b = binary.BigEndian.AppendUint64(b, uint64(m))
	}
	sum := sha256.Sum256(b)
	return Digest(binary.BigEndian.Uint64(sum[:]))
}

// String returns the digest as 16 hexadecimal digits, the form used in logs and by operators.
func (d Digest) String() string {
	const digits = 16
	text := strconv.FormatUint(uint64(d), 16)
	return "0000000000000000"[:digits-len(text)] + text
}

// Parse parses the form that String returns.
func Parse(text string) (Digest, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Digest(n), err
}
