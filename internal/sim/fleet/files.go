package fleet

import (
	"embed"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// ErrUnknown is returned for the name of a fleet that does not exist.
var ErrUnknown = errors.New("unknown fleet")

//go:embed fleets/*.jsonc
var files embed.FS

// Names returns the names of the embedded fleets.
func Names() []string {
	entries, err := files.ReadDir("fleets")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name()[:len(e.Name())-len(".jsonc")])
	}
	return out
}

// Find returns the fleet with the name; "drawn" is random and depends on the seed.
func Find(name string, seed uint64) (Fleet, error) {
	if name == "drawn" {
		return Random(seed), nil
	}
	b, err := files.ReadFile("fleets/" + name + ".jsonc")
	if err != nil {
		return Fleet{}, errors.Wrapf(ErrUnknown, "%q", name)
	}
	return Parse(b)
}

// Parse parses a fleet in JSON with comments.
func Parse(b []byte) (Fleet, error) {
	var f Fleet
	plain, err := hujson.Standardize(b)
	if err != nil {
		return f, errors.Wrap(err, "parse fleet")
	}
	return f, errors.Wrap(json.Unmarshal(plain, &f), "decode fleet")
}
