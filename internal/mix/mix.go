// Package mix describes the first users' work and generates its arrivals.
package mix

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// BlockTokens is the number of prompt tokens in a cache block (docs/PROTOCOLS.md).
const BlockTokens = 64

// TokenBytes is the number of prompt bytes in a token (docs/PROTOCOLS.md).
const TokenBytes = 4

// The pools of both mixes.
const (
	// Models is the pool of model engines.
	Models = "models"
	// Packets is the pool of plain services.
	Packets = "packets"
)

// Mix is one user's work. The brief gives its teams, tiers and kinds of work;
// the shares and lengths are guesses within its words, to be replaced by the
// users' own figures.
type Mix struct {
	Name string
	// Tiers are ordered by rank.
	Tiers []fireflypath.Tier
	// Teams carry no keys.
	Teams []fireflypath.Team
	// Streams are the kinds of work; their shares need not add up to 1.
	Streams []Stream
}

// Stream is one kind of work of one team.
type Stream struct {
	Team string
	Tier string
	Pool string
	// Share is the part of the mix's arrivals, against the other streams.
	Share float64
	// Prompt and Output are token counts, log-uniform between the bounds.
	Prompt TokenRange
	Output TokenRange
	// Deadline is counted from the arrival.
	Deadline time.Duration
	// Documents is the number of texts that prompts begin with; few are asked
	// for often (Zipf's law). 0 means that no two prompts begin alike.
	Documents int
	// SharedFraction is the part of a prompt that its document covers.
	SharedFraction float64
	// Idempotent is false for work that must not run twice; it carries a key.
	Idempotent bool
}

// TokenRange bounds a number of tokens.
type TokenRange struct {
	Min int
	Max int
}

// Length of requests varies by a factor of about a hundred (brief, "Our
// workloads"): from a co-op's question to a mud-log packet.
const (
	minPromptTokens = 160
	maxPromptTokens = 100 * minPromptTokens
)

// Pozo is Pozo Austral Datos: well records, where long scanned reports make
// every repeated prefill expensive.
func Pozo() Mix {
	return Mix{
		Name: "pozo",
		Tiers: []fireflypath.Tier{
			tier("workover", 0, 8*time.Second),
			tier("permit", 1, 20*time.Second),
			tier("archive", 2, 60*time.Second),
		},
		Teams: []fireflypath.Team{
			{Name: "reservoir", Tiers: []string{"workover", "permit"}, Weight: 3},
			{Name: "extraction", Tiers: []string{"permit"}, Weight: 3},
			{Name: "scanning", Tiers: []string{"archive"}, Weight: 3},
			{Name: "field", Tiers: []string{"workover"}, Weight: 1},
			{Name: "regulators", Tiers: []string{"permit"}, Weight: 1},
		},
		Streams: []Stream{
			{
				Team: "reservoir", Tier: "workover", Pool: Models, Share: 20, Deadline: 8 * time.Second,
				Prompt: TokenRange{4 * minPromptTokens, maxPromptTokens / 4}, Output: TokenRange{16, 160}, Documents: 40, SharedFraction: 0.8, Idempotent: true,
			},
			{
				Team: "reservoir", Tier: "permit", Pool: Models, Share: 10, Deadline: 20 * time.Second,
				Prompt: TokenRange{minPromptTokens, maxPromptTokens}, Output: TokenRange{16, 160}, Documents: 40, SharedFraction: 0.8, Idempotent: true,
			},
			{
				Team: "extraction", Tier: "permit", Pool: Models, Share: 25, Deadline: 20 * time.Second,
				Prompt: TokenRange{minPromptTokens, maxPromptTokens}, Output: TokenRange{16, 320}, Documents: 80, SharedFraction: 0.9, Idempotent: true,
			},
			{
				Team: "scanning", Tier: "archive", Pool: Models, Share: 30, Deadline: 60 * time.Second,
				Prompt: TokenRange{minPromptTokens, maxPromptTokens}, Output: TokenRange{8, 64}, Documents: 200, SharedFraction: 0.5, Idempotent: true,
			},
			packetStream("field", "workover", 10, 5*time.Second),
			packetStream("regulators", "permit", 5, 20*time.Second),
		},
	}
}

// Meelwerk is Meelwerk Analytics: mill contracts, where traders' deadlines are
// fixed by the exchange.
func Meelwerk() Mix {
	return Mix{
		Name: "meelwerk",
		Tiers: []fireflypath.Tier{
			tier("exchange", 0, 3*time.Second),
			tier("question", 1, 10*time.Second),
			tier("review", 2, 120*time.Second),
		},
		Teams: []fireflypath.Team{
			{Name: "traders", Tiers: []string{"exchange"}, Weight: 3},
			{Name: "coops", Tiers: []string{"question"}, Weight: 3},
			{Name: "millers", Tiers: []string{"review"}, Weight: 3},
			{Name: "desk", Tiers: []string{"exchange", "question"}, Weight: 1},
			{Name: "notices", Tiers: []string{"question"}, Weight: 1},
		},
		Streams: []Stream{
			{
				Team: "traders", Tier: "exchange", Pool: Models, Share: 25, Deadline: 3 * time.Second,
				Prompt: TokenRange{minPromptTokens, 10 * minPromptTokens}, Output: TokenRange{16, 96}, Documents: 30, SharedFraction: 0.5, Idempotent: true,
			},
			{
				Team: "desk", Tier: "exchange", Pool: Models, Share: 5, Deadline: 3 * time.Second,
				Prompt: TokenRange{minPromptTokens, 10 * minPromptTokens}, Output: TokenRange{16, 96}, Documents: 30, SharedFraction: 0.5, Idempotent: true,
			},
			{
				Team: "coops", Tier: "question", Pool: Models, Share: 40, Deadline: 10 * time.Second,
				Prompt: TokenRange{minPromptTokens, 4 * minPromptTokens}, Output: TokenRange{8, 96}, Documents: 60, SharedFraction: 0.4, Idempotent: true,
			},
			{
				Team: "millers", Tier: "review", Pool: Models, Share: 20, Deadline: 120 * time.Second,
				Prompt: TokenRange{10 * minPromptTokens, maxPromptTokens}, Output: TokenRange{64, 640}, Documents: 100, SharedFraction: 0.6, Idempotent: true,
			},
			packetStream("notices", "question", 10, 10*time.Second),
		},
	}
}

// ByName returns the mix of a name.
func ByName(name string) (Mix, bool) {
	for _, m := range []Mix{Pozo(), Meelwerk()} {
		if m.Name == name {
			return m, true
		}
	}
	return Mix{}, false
}

func tier(name string, rank int, deadline time.Duration) fireflypath.Tier {
	return fireflypath.Tier{Name: name, Rank: rank, Deadline: fireflypath.Duration(deadline)}
}

// packetStream is the delivery of a record packet or a notice: a call to a plain
// service that must not run twice.
func packetStream(team, tier string, share float64, deadline time.Duration) Stream {
	return Stream{
		Team: team, Tier: tier, Pool: Packets, Share: share, Deadline: deadline,
		Prompt: TokenRange{minPromptTokens, minPromptTokens}, Idempotent: false,
	}
}

// Rank is the rank of a tier by name; the names of a Mix are its own.
func (m Mix) Rank(tier string) int {
	for _, t := range m.Tiers {
		if t.Name == tier {
			return t.Rank
		}
	}
	return 0
}

// Model is served by the engines of demos and trials.
const Model = "reader"

// Token is the bearer token of a team in demos and on stand-ins. Anybody can
// guess it; it is of no use elsewhere.
func Token(team string) string {
	return "demo-" + team
}
