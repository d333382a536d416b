// Package mix models the workloads of the first users and generates request arrivals.
package mix

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// BlockTokens is the number of prompt tokens in a cache block (docs/PROTOCOLS.md).
const BlockTokens = 64

// TokenBytes is the number of prompt bytes in a token (docs/PROTOCOLS.md).
const TokenBytes = 4

// The pools that both mixes use.
const (
	// Models is the pool of model engines.
	Models = "models"
	// Packets is the pool of plain services.
	Packets = "packets"
)

// Mix is the workload of one user. Teams, tiers and kinds of work are those that the users
// describe. The shares and lengths are assumptions within their terms, until the users
// provide their own figures.
type Mix struct {
	Name string
	// Tiers are ordered by rank.
	Tiers []fireflypath.Tier
	// Teams have no keys.
	Teams []fireflypath.Team
	// Streams are the kinds of work. Their shares need not add up to 1.
	Streams []Stream
}

// Stream is one kind of work of one team.
type Stream struct {
	Team string
	Tier string
	Pool string
	// Share is the weight of the stream among the mix's arrivals.
	Share float64
	// Prompt and Output are numbers of tokens, log-uniformly distributed over the range.
	Prompt TokenRange
	Output TokenRange
	// Deadline is relative to the arrival.
	Deadline time.Duration
	// Documents is the number of texts that prompts begin with; a few of them are
	// requested often (Zipf's law). 0 means that no two prompts share a prefix.
	Documents int
	// SharedFraction is the fraction of a prompt taken from its document.
	SharedFraction float64
	// Idempotent is false for work that must not run twice, which carries an idempotency key.
	Idempotent bool
}

// TokenRange is an inclusive range of token counts.
type TokenRange struct {
	Min int
	Max int
}

// The length of requests varies by a factor of about 100, from a co-op's question to a
// mud-log packet.
const (
	minPromptTokens = 160
	maxPromptTokens = 100 * minPromptTokens
)

// Pozo returns the mix of Pozo Austral Datos: well records, where long scanned reports
// make every repeated prefill expensive.
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

// Meelwerk returns the mix of Meelwerk Analytics: mill contracts, where the exchange
// sets the deadlines of traders.
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

// ByName returns the mix with the given name.
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

// packetStream returns the stream of a team that delivers record packets or notices:
// calls to a plain service that must not run twice.
func packetStream(team, tier string, share float64, deadline time.Duration) Stream {
	return Stream{
		Team: team, Tier: tier, Pool: Packets, Share: share, Deadline: deadline,
		Prompt: TokenRange{minPromptTokens, minPromptTokens}, Idempotent: false,
	}
}

// Rank returns the rank of a tier by name, or 0 if the mix has no such tier.
func (m Mix) Rank(tier string) int {
	for _, t := range m.Tiers {
		if t.Name == tier {
			return t.Rank
		}
	}
	return 0
}

// Model is the model that the engines of demos and trials serve.
const Model = "reader"

// Token returns the bearer token of a team in demos and trials. It is easy to guess and
// must not be used anywhere else.
func Token(team string) string {
	return "demo-" + team
}
