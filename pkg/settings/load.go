package settings

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file. Faults of its content are Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads and checks settings; the path only appears in problems.
func Parse(path string, text []byte) (*Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, syntaxProblems(path, err)
	}
	d := newDecoder(path, text)
	var s Settings
	d.decodeRoot(rootName, &s, root)
	d.check(&s)
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return &s, nil
}
