package keys_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/keys"
)

// staticConfigs returns a configuration that the test can replace.
type staticConfigs struct{ cfg *fireflypath.Config }

func (s *staticConfigs) Current() *fireflypath.Config              { return s.cfg }
func (s *staticConfigs) Changed(generation uint64) <-chan struct{} { return nil }

func TestOperator(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	key, hash := keys.Generate()
	old, oldHash := keys.Generate()
	is.True(strings.HasPrefix(key, "fp_"))
	is.True(key != old)
	ana := fireflypath.Operator{Name: "ana", Role: fireflypath.RoleChange, Keys: []fireflypath.Key{
		{Hash: hash}, {Hash: oldHash, Until: now.Add(time.Minute)},
	}}
	f := &staticConfigs{&fireflypath.Config{Operators: []fireflypath.Operator{ana}}}
	ring := keys.New(f)
	is.Equal(ring.Operator(key, now).Name, "ana")
	is.Equal(ring.Operator(old, now).Name, "ana")
	is.Equal(ring.Operator(old, now.Add(time.Minute)), nil) // the old key has expired
	is.Equal(ring.Operator("fp_guess", now), nil)
	is.Equal(ring.Operator("", now), nil)
	f.cfg = &fireflypath.Config{Operators: []fireflypath.Operator{{Name: "eva", Keys: []fireflypath.Key{{Hash: keys.Hash("")}}}}}
	is.Equal(ring.Operator("", now), nil) // a request without a key has no operator's key
	f.cfg = &fireflypath.Config{}
	is.Equal(ring.Operator(key, now), nil) // removed by the next configuration
}

func TestBearer(t *testing.T) {
	is := is.New(t)
	is.Equal(keys.Bearer("Bearer fp_x"), "fp_x")
	is.Equal(keys.Bearer("bearer  fp_x "), "fp_x")
	is.Equal(keys.Bearer("Basic abc"), "")
	is.Equal(keys.Bearer(""), "")
}
