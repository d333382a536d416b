package settings

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	std, err := hujson.Standardize(text)
	if err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	var s Settings
	if err := json.Unmarshal(std, &s); err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	return &s, Check(&s)
}
