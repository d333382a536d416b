package settings

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Load reads and validates a settings file. Invalid content is returned as Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates settings. The path is used only in problems.
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
