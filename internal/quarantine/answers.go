package quarantine

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	// rotateInterval is how long answers are added to one generation. An answer is kept for
	// one to two intervals.
	rotateInterval = 30 * time.Second
	// maxAnswers limits a generation. Parts that many requests share need far less.
	maxAnswers = 16384
)

// answerSet holds the requests, or parts of requests, answered completely in the last 30 to 60
// seconds. A request that many callers send is answered all the time, and so is no suspect when
// targets crash while running it.
type answerSet struct {
	rotatedAt         time.Time
	current, previous map[digest.Digest]struct{}
}

func newAnswerSet() answerSet {
	return answerSet{current: map[digest.Digest]struct{}{}, previous: map[digest.Digest]struct{}{}}
}

func (s *answerSet) add(now time.Time, answered []digest.Digest) {
	s.rotate(now)
	for _, d := range answered {
		s.current[d] = struct{}{}
	}
}

func (s *answerSet) contains(now time.Time, d digest.Digest) bool {
	s.rotate(now)
	if _, ok := s.current[d]; ok {
		return true
	}
	_, ok := s.previous[d]
	return ok
}

// rotate drops the older generation once the newer one is full or expired.
func (s *answerSet) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < rotateInterval && len(s.current) < maxAnswers {
		return
	}
	if now.Sub(s.rotatedAt) >= 2*rotateInterval {
		clear(s.current)
	}
	s.previous, s.current = s.current, map[digest.Digest]struct{}{}
	s.rotatedAt = now
}
