// Package origin decides at which version of a pool a stream began that its caller resumes.
//
// It answers roll-outs during which two versions serve side by side: what two versions write does not fit
// together, the daemon that began a stream may have ended, and a caller comes back at any other one. A
// wrong guess corrupts an answer, a refusal costs one, so that nothing is guessed: either a daemon has a
// record of the stream, or only one version can have begun it.
package origin

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream by its team and the ID of the request that began it. 0 is no stream.
type Key uint64

// KeyOf returns the key of the stream that a team's request began. An empty ID has no key.
func KeyOf(team, id string) Key {
	if id == "" {
		return 0
	}
	return Key(xxhash.Sum64String(team + "\x00" + id))
}

// WorkKeyOf returns the key of a work: of what a request asks for, whose digest includes its team, and of its
// own prompt. A caller that does not name the request that began its stream is recognized by it. Without a
// prompt of its own a work has no key: others may ask for the same.
func WorkKeyOf(digest uint64, prompt string) Key {
	if prompt == "" {
		return 0
	}
	return Key(xxhash.Sum64String(strconv.FormatUint(digest, 16) + "\x00work\x00" + prompt))
}

// Origin is where a stream began.
type Origin struct {
	Pool    string
	Version string
}

// Evidence is what one daemon knows of a stream and of the pool in which it may have begun.
type Evidence struct {
	// Found is true if the daemon has a record of the stream, and Origin is what it says. Conflicting
	// is true if it has several that differ.
	Found       bool
	Conflicting bool
	Origin      Origin
	// Versions lists the versions that the daemon has seen in the pool for as long as a stream may
	// last, and Pools the other pools that have served the same paths in that time.
	Versions []string
	Pools    []string
	// Complete is true if the daemon has seen all versions of that time, up to now.
	Complete bool
	// Settled is true if all streams that may have begun in the pools have been recorded with several
	// daemons.
	Settled bool
}

// Infer returns where the stream began, by what this daemon and others know. pools are those in which it
// may have begun. It reports false if nobody knows.
func Infer(pools []string, all []Evidence) (Origin, bool) {
	var found *Origin
	for i := range all {
		e := &all[i]
		if e.Conflicting || e.Found && found != nil && *found != e.Origin {
			return Origin{}, false
		}
		if e.Found {
			found = &e.Origin
		}
	}
	if found != nil {
		return *found, true
	}
	return onlyVersion(pools, all)
}

// InferWork is like Infer for the only stream of a work. A record may be that of another stream of the work
// that began elsewhere, of which the record is lost. It counts if no other origin is known, or if all of the
// work's streams have been recorded.
func InferWork(pools []string, all []Evidence) (Origin, bool) {
	o, ok := Infer(pools, all)
	if !ok {
		return Origin{}, false
	}
	for _, e := range all {
		if e.Found && e.Settled {
			return o, true
		}
	}
	for _, e := range all {
		others := func(version string) bool { return version != o.Version }
		otherPools := func(pool string) bool { return pool != o.Pool }
		if slices.ContainsFunc(e.Versions, others) || slices.ContainsFunc(e.Pools, otherPools) {
			return Origin{}, false
		}
	}
	return o, len(pools) == 1 && pools[0] == o.Pool
}

// onlyVersion returns the version of a pool in which no other one can have begun a stream.
func onlyVersion(pools []string, all []Evidence) (Origin, bool) {
	if len(pools) != 1 || !slices.ContainsFunc(all, func(e Evidence) bool { return e.Complete }) {
		return Origin{}, false
	}
	version := ""
	for _, e := range all {
		if slices.ContainsFunc(e.Pools, func(pool string) bool { return pool != pools[0] }) {
			return Origin{}, false
		}
		for _, v := range e.Versions {
			if version != "" && v != version {
				return Origin{}, false
			}
			version = v
		}
	}
	if version == "" {
		return Origin{}, false
	}
	return Origin{Pool: pools[0], Version: version}, true
}
