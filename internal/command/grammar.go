// Package command parses and applies the language in which operators change the
// configuration and send orders to targets.
package command

import "github.com/fireflypath/fireflypath/internal/syntax"

// Grammar of the language. Optional fields are lists so that a field given twice can be
// reported at its position.
type (
	script struct {
		Plan     bool         `parser:"@'plan'?"`
		Base     *syntax.Word `parser:"( 'at' @@ )?"`
		Commands []*command   `parser:"@@? ( ';' @@? )*"`
	}

	command struct {
		Set     *set      `parser:"  'set' @@"`
		Delete  *deletion `parser:"| 'delete' @@"`
		Drain   *target   `parser:"| 'drain' @@"`
		Restore *target   `parser:"| 'restore' @@"`
		Key     *key      `parser:"| 'key' @@"`
		Revoke  *revoke   `parser:"| 'revoke' @@"`
		Load    *model    `parser:"| 'load' @@"`
		Unload  *model    `parser:"| 'unload' @@"`
		Adapter *value    `parser:"| 'adapter' @@"`
		Version *value    `parser:"| 'version' @@"`
		Role    *value    `parser:"| 'role' @@"`
	}

	set struct {
		Tier     *tier      `parser:"  'tier' @@"`
		Team     *team      `parser:"| 'team' @@"`
		Pool     *pool      `parser:"| 'pool' @@"`
		Target   *targetSet `parser:"| 'target' @@"`
		Rule     *rule      `parser:"| 'rule' @@"`
		Operator *operator  `parser:"| 'operator' @@"`
	}

	tier struct {
		Name     syntax.Word   `parser:"@@"`
		Rank     []syntax.Word `parser:"( 'rank' @@"`
		Deadline []syntax.Word `parser:"| 'deadline' @@ )*"`
	}

	team struct {
		Name   syntax.Word   `parser:"@@"`
		Tiers  []list        `parser:"( 'tiers' @@"`
		Pools  []list        `parser:"| 'pools' @@"`
		Weight []syntax.Word `parser:"| 'weight' @@ )*"`
	}

	pool struct {
		Name     syntax.Word   `parser:"@@"`
		Kind     []syntax.Word `parser:"( 'kind' @@"`
		Models   []list        `parser:"| 'models' @@"`
		Requests []syntax.Word `parser:"| 'requests' @@"`
		Bytes    []syntax.Word `parser:"| 'bytes' @@ )*"`
	}

	targetSet struct {
		Name   syntax.Word   `parser:"@@"`
		Pool   []syntax.Word `parser:"( 'pool' @@"`
		Addr   []syntax.Word `parser:"| 'addr' @@"`
		Domain []syntax.Word `parser:"| 'domain' @@"`
		Window []syntax.Word `parser:"| 'window' @@"`
		Fenced []syntax.Word `parser:"| 'fenced' @@ )*"`
	}

	rule struct {
		Name  syntax.Word   `parser:"@@"`
		Act   []syntax.Word `parser:"( 'act' @@"`
		Team  []syntax.Word `parser:"| 'team' @@"`
		Tier  []syntax.Word `parser:"| 'tier' @@"`
		Pool  []syntax.Word `parser:"| 'pool' @@"`
		Above []syntax.Word `parser:"| 'above' @@"`
		Limit []syntax.Word `parser:"| 'limit' @@ )*"`
	}

	operator struct {
		Name syntax.Word   `parser:"@@"`
		Role []syntax.Word `parser:"( 'role' @@ )*"`
	}

	deletion struct {
		Tier     *syntax.Word `parser:"  'tier' @@"`
		Team     *syntax.Word `parser:"| 'team' @@"`
		Pool     *syntax.Word `parser:"| 'pool' @@"`
		Target   *syntax.Word `parser:"| 'target' @@"`
		Rule     *syntax.Word `parser:"| 'rule' @@"`
		Operator *syntax.Word `parser:"| 'operator' @@"`
	}

	target struct {
		Name syntax.Word `parser:"'target' @@"`
	}

	key struct {
		Team     *syntax.Word  `parser:"( 'team' @@"`
		Operator *syntax.Word  `parser:"| 'operator' @@ )"`
		Hash     []syntax.Word `parser:"( 'hash' @@"`
		Overlap  []syntax.Word `parser:"| 'overlap' @@ )*"`
	}

	revoke struct {
		Hash syntax.Word `parser:"'key' @@"`
	}

	model struct {
		Name  syntax.Word `parser:"'target' @@"`
		Model syntax.Word `parser:"'model' @@"`
	}

	value struct {
		Name  syntax.Word `parser:"'target' @@"`
		Value syntax.Word `parser:"@@"`
	}

	list struct {
		Items []syntax.Word `parser:"@@ ( ',' @@ )*"`
	}
)

var language = syntax.New[script](map[string]string{
	"at":       "a generation number",
	"rank":     "a rank from 0 to 15",
	"deadline": "a duration such as 2s",
	"weight":   "a whole number",
	"kind":     "engine or service",
	"requests": "a whole number",
	"bytes":    "a whole number",
	"window":   "a number of tokens",
	"fenced":   "yes or no",
	"act":      "admit, refuse or limit",
	"above":    "a number of tokens",
	"limit":    "a number of tokens a second",
	"addr":     "an IP number and a port such as 127.0.0.1:9001",
	"hash":     "the SHA-256 of a key in hexadecimal",
	"overlap":  "a duration such as 24h",
	"role":     "ask, change or order",
})
