package placement_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/policy/naive"
	"quincewinch/policy/placement"
)

// TestMain fixes the seed, so that each run draws the same values.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Unix(1000, 0)

const oak = models.Model("oak")

// drawEngine draws an engine in a random state.
func drawEngine(t *rapid.T, i int) (models.BackendServer, models.EngineState) {
	id := models.EngineID("e-" + strconv.Itoa(i))
	// Each flag is set for one engine in eight, so that most engines may run
	// the request.
	flag := rapid.Custom(func(t *rapid.T) bool { return rapid.IntRange(0, 7).Draw(t, "one in eight") == 0 })
	state := models.EngineState{
		Engine:      id,
		MeasuredAt:  start,
		Models:      rapid.SliceOfN(rapid.SampledFrom([]models.Model{oak, oak, "ash"}), 0, 2).Draw(t, "models"),
		Draining:    flag.Draw(t, "draining"),
		Changing:    flag.Draw(t, "changing"),
		Running:     rapid.IntRange(0, 80).Draw(t, "running"),
		TotalPieces: rapid.SampledFrom([]int{4, 2048}).Draw(t, "total"),
		PieceTokens: 64,
		PrefillRate: 20000,
		DecodeRate:  125,
	}
	state.FreePieces = rapid.IntRange(0, state.TotalPieces).Draw(t, "free")
	if flag.Draw(t, "evicting") {
		state.EvictionAt = start.Add(5 * time.Second)
	}
	return models.BackendServer{Engine: id, Cheap: rapid.Bool().Draw(t, "cheap"), Leaving: flag.Draw(t, "leaving")}, state
}

// TestChooseOnlyEligible compares Choose with round robin over the engines that
// the test finds eligible by a separate check of the rules: Choose finds an
// engine exactly when there is an eligible one, and chooses one of these.
func TestChooseOnlyEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		prompt := rapid.IntRange(1, 1000).Draw(t, "prompt")
		repeatable := rapid.Bool().Draw(t, "repeatable")
		excluded := []models.EngineID{"e-0", "e-3"}
		var candidates []placement.Candidate
		var eligible, reserved []models.BackendServer
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			server, state := drawEngine(t, i)
			if placement.Usable(server, &state, oak) {
				candidates = append(candidates, placement.Candidate{Server: server, Load: placement.Load{State: state, MeasuredAt: start}})
			}
			unavailable := state.Draining || state.Changing || server.Leaving || !state.EvictionAt.IsZero()
			hasModel := slices.Contains(state.Models, oak)
			fits := (prompt+63)/64 <= state.TotalPieces
			if unavailable || !hasModel || !fits || slices.Contains(excluded, server.Engine) {
				continue
			}
			eligible = append(eligible, server)
			if !server.Cheap {
				reserved = append(reserved, server)
			}
		}
		if !repeatable && len(reserved) > 0 {
			eligible = reserved
		}
		s := placement.NewSnapshot("", candidates, placement.Rates{Own: 1, Others: 10}, start)
		d := &placement.Demand{Model: oak, Prompt: prompt, Repeatable: repeatable, Excluded: excluded}
		choice, found := s.Choose(d, placement.NewCacheIndex(), rand.New(rand.NewPCG(1, 2)), start)
		_, expected := new(naive.RoundRobin).Choose(eligible)
		is.Equal(found, expected)                                   // an engine is found if one is eligible
		is.True(!found || slices.Contains(eligible, choice.Server)) // the engine is eligible
	})
}

func fleet(n int) []placement.Candidate {
	var candidates []placement.Candidate
	for i := range n {
		candidates = append(candidates, placement.Candidate{
			Server: models.BackendServer{Engine: models.EngineID("e-" + strconv.Itoa(i)), Zone: "a"},
			Load: placement.Load{MeasuredAt: start, State: models.EngineState{
				TotalPieces: 2048, FreePieces: 2048, PieceTokens: 64, PrefillRate: 20000, DecodeRate: 125, Running: 20,
			}},
		})
	}
	return candidates
}

func choose(t *testing.T, candidates []placement.Candidate, d *placement.Demand, cache *placement.CacheIndex) models.EngineID {
	t.Helper()
	is := is.New(t)
	s := placement.NewSnapshot("a", candidates, placement.Rates{}, start)
	choice, ok := s.Choose(d, cache, rand.New(rand.NewPCG(1, 2)), start)
	is.True(ok) // an engine is found
	return choice.Server.Engine
}

func TestChoosePreferences(t *testing.T) {
	prompt := string(make([]byte, 4000*prefix.BytesPerToken))
	d := &placement.Demand{Model: oak, Prompt: 4000, Output: 50, Hashes: prefix.Hashes(prompt), Repeatable: true}
	t.Run("less work not yet reported", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Add(models.InflightWork{Requests: 20, PromptTokens: 20000, OutputTokens: 1000})
		is.Equal(choose(t, candidates, d, placement.NewCacheIndex()), models.EngineID("e-1"))
	})
	t.Run("fewer requests in flight when a report shows too few", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Load.State.Running = 0
		candidates[0].Own.Requests = 60
		is.Equal(choose(t, candidates, d, placement.NewCacheIndex()), models.EngineID("e-1"))
	})
	t.Run("the same zone", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Server.Zone = "b"
		is.Equal(choose(t, candidates, d, placement.NewCacheIndex()), models.EngineID("e-1"))
	})
	t.Run("a cached prefix", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCacheIndex()
		cache.Apply("e-31", events(d.Hashes))
		is.Equal(choose(t, fleet(100), d, cache), models.EngineID("e-31"))
	})
}

func TestNonRepeatableAvoidsCheapEngine(t *testing.T) {
	is := is.New(t)
	prompt := string(make([]byte, 4000*prefix.BytesPerToken))
	d := &placement.Demand{Model: oak, Prompt: 4000, Output: 50, Hashes: prefix.Hashes(prompt)}
	candidates := fleet(100)
	candidates[31].Server.Cheap = true
	cache := placement.NewCacheIndex()
	cache.Apply("e-31", events(d.Hashes))
	is.True(choose(t, candidates, d, cache) != "e-31") // not chosen although it has the prefix cached
}

// events returns the events for caching all blocks of a prompt.
func events(hashes []uint64) []models.CacheEvent {
	var all []models.CacheEvent
	for i, hash := range hashes {
		all = append(all, models.CacheEvent{Sequence: uint64(i + 1), Prefix: hash, Tokens: (i + 1) * prefix.BlockTokens})
	}
	return all
}

func TestCacheIndex(t *testing.T) {
	hashes := prefix.Hashes(string(make([]byte, 640*prefix.BytesPerToken)))
	t.Run("cached and evicted", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCacheIndex()
		cache.Apply("e", events(hashes))
		is.Equal(cache.CachedTokens("e", hashes), 640.0)
		cache.Apply("e", []models.CacheEvent{{Sequence: 41, Prefix: hashes[39], Evicted: true}})
		is.Equal(cache.CachedTokens("e", hashes), 576.0) // the next shorter indexed prefix
		is.Equal(cache.Holders(hashes), []models.EngineID{"e"})
	})
	t.Run("a gap in the events lowers the expected tokens", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCacheIndex()
		cache.Apply("e", events(hashes))
		cache.Apply("e", []models.CacheEvent{{Sequence: 61, Prefix: 1, Tokens: 16}})
		tokens := cache.CachedTokens("e", hashes)
		is.True(tokens > 0 && tokens < 640) // lower, but not zero
		cache.Apply("e", []models.CacheEvent{{Sequence: 5000, Prefix: 2, Tokens: 16}})
		is.Equal(cache.CachedTokens("e", hashes), 0.0) // survival is below the minimum
	})
	t.Run("an old event is ignored", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCacheIndex()
		cache.Apply("e", events(hashes))
		cache.Apply("e", []models.CacheEvent{{Sequence: 3, Prefix: hashes[39], Evicted: true}})
		is.Equal(cache.CachedTokens("e", hashes), 640.0)
	})
	t.Run("an unconfirmed prefix expires", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCacheIndex()
		cache.Expect("e", hashes, start)
		is.True(cache.CachedTokens("e", hashes) > 0)
		cache.Expire(start.Add(time.Minute))
		is.Equal(cache.CachedTokens("e", hashes), 0.0)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 100, 600} {
		b.Run("engines="+strconv.Itoa(n)+"/naive", func(b *testing.B) {
			var servers []models.BackendServer
			for _, c := range fleet(n) {
				servers = append(servers, c.Server)
			}
			var roundRobin naive.RoundRobin
			b.ReportAllocs()
			for b.Loop() {
				roundRobin.Choose(servers)
			}
		})
		b.Run("engines="+strconv.Itoa(n)+"/placement", func(b *testing.B) {
			prompt := string(make([]byte, 2000*prefix.BytesPerToken))
			d := &placement.Demand{Model: oak, Prompt: 2000, Output: 50, Hashes: prefix.Hashes(prompt), Repeatable: true}
			cache := placement.NewCacheIndex()
			candidates := fleet(n)
			for _, c := range candidates {
				cache.Apply(c.Server.Engine, events(d.Hashes))
			}
			s := placement.NewSnapshot("a", candidates, placement.Rates{Own: 10, Others: 100}, start)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := s.Choose(d, cache, random, start)
				_ = choice.Why()
			}
		})
	}
}
