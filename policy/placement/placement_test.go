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

// TestMain fixes the seed, so that each run draws the same.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Unix(1000, 0)

const oak = models.Model("oak")

// anyEngine draws an engine in any state.
func anyEngine(t *rapid.T, i int) (models.BackendServer, models.EngineState) {
	id := models.EngineID("e-" + strconv.Itoa(i))
	// Most engines may run the request, so that there is a choice.
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

// TestChoosesOnlyFit compares with the naive choice among the engines that a
// plain reading of the rules leaves: an engine is found exactly where naive
// finds one, and it is one of those.
func TestChoosesOnlyFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		prompt := rapid.IntRange(1, 1000).Draw(t, "prompt")
		repeatable := rapid.Bool().Draw(t, "repeatable")
		excluded := []models.EngineID{"e-0", "e-3"}
		var candidates []placement.Candidate
		var fit, dependable []models.BackendServer
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			server, state := anyEngine(t, i)
			if placement.Usable(server, &state, oak) {
				candidates = append(candidates, placement.Candidate{Server: server, Load: placement.Load{State: state, MeasuredAt: start}})
			}
			away := state.Draining || state.Changing || server.Leaving || !state.EvictionAt.IsZero()
			hasModel := slices.Contains(state.Models, oak)
			roomy := (prompt+63)/64 <= state.TotalPieces
			if away || !hasModel || !roomy || slices.Contains(excluded, server.Engine) {
				continue
			}
			fit = append(fit, server)
			if !server.Cheap {
				dependable = append(dependable, server)
			}
		}
		if !repeatable && len(dependable) > 0 {
			fit = dependable
		}
		s := placement.NewSnapshot("", candidates, placement.Rates{Own: 1, Others: 10}, start)
		d := &placement.Demand{Model: oak, Prompt: prompt, Repeatable: repeatable, Excluded: excluded}
		choice, found := s.Choose(d, placement.NewCache(), rand.New(rand.NewPCG(1, 2)), start)
		_, expected := new(naive.RoundRobin).Choose(fit)
		is.Equal(found, expected)                              // an engine is found where there is one
		is.True(!found || slices.Contains(fit, choice.Server)) // it is one that may run the request
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

func choose(t *testing.T, candidates []placement.Candidate, d *placement.Demand, cache *placement.Cache) models.EngineID {
	t.Helper()
	is := is.New(t)
	s := placement.NewSnapshot("a", candidates, placement.Rates{}, start)
	choice, ok := s.Choose(d, cache, rand.New(rand.NewPCG(1, 2)), start)
	is.True(ok) // an engine is found
	return choice.Server.Engine
}

func TestPrefers(t *testing.T) {
	prompt := string(make([]byte, 4000*prefix.BytesPerToken))
	d := &placement.Demand{Model: oak, Prompt: 4000, Output: 50, Hashes: prefix.Hashes(prompt), Repeatable: true}
	t.Run("less work unseen by the report", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Add(models.InflightWork{Requests: 20, PromptTokens: 20000, OutputTokens: 1000})
		is.Equal(choose(t, candidates, d, placement.NewCache()), models.EngineID("e-1"))
	})
	t.Run("an engine that does not hide its work", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Load.State.Running = 0
		candidates[0].Own.Requests = 60
		is.Equal(choose(t, candidates, d, placement.NewCache()), models.EngineID("e-1"))
	})
	t.Run("its zone", func(t *testing.T) {
		is := is.New(t)
		candidates := fleet(2)
		candidates[0].Server.Zone = "b"
		is.Equal(choose(t, candidates, d, placement.NewCache()), models.EngineID("e-1"))
	})
	t.Run("the cached prefix", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCache()
		cache.Apply("e-31", events(d.Hashes))
		is.Equal(choose(t, fleet(100), d, cache), models.EngineID("e-31"))
	})
}

func TestNotRepeatableAvoidsCheapCache(t *testing.T) {
	is := is.New(t)
	prompt := string(make([]byte, 4000*prefix.BytesPerToken))
	d := &placement.Demand{Model: oak, Prompt: 4000, Output: 50, Hashes: prefix.Hashes(prompt)}
	candidates := fleet(100)
	candidates[31].Server.Cheap = true
	cache := placement.NewCache()
	cache.Apply("e-31", events(d.Hashes))
	is.True(choose(t, candidates, d, cache) != "e-31") // though it has the prefix
}

// events returns the events of a prompt that is cached.
func events(hashes []uint64) []models.CacheEvent {
	var all []models.CacheEvent
	for i, hash := range hashes {
		all = append(all, models.CacheEvent{Sequence: uint64(i + 1), Prefix: hash, Tokens: (i + 1) * prefix.BlockTokens})
	}
	return all
}

func TestCache(t *testing.T) {
	hashes := prefix.Hashes(string(make([]byte, 640*prefix.BytesPerToken)))
	t.Run("whole and evicted", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCache()
		cache.Apply("e", events(hashes))
		is.Equal(cache.Credit("e", hashes), 640.0)
		cache.Apply("e", []models.CacheEvent{{Sequence: 41, Prefix: hashes[39], Evicted: true}})
		is.Equal(cache.Credit("e", hashes), 576.0) // the next shorter indexed prefix
		is.Equal(cache.Holders(hashes), []models.EngineID{"e"})
	})
	t.Run("a gap lowers the credit", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCache()
		cache.Apply("e", events(hashes))
		cache.Apply("e", []models.CacheEvent{{Sequence: 61, Prefix: 1, Tokens: 16}})
		credit := cache.Credit("e", hashes)
		is.True(credit > 0 && credit < 640) // less certain
		cache.Apply("e", []models.CacheEvent{{Sequence: 5000, Prefix: 2, Tokens: 16}})
		is.Equal(cache.Credit("e", hashes), 0.0) // nothing is left
	})
	t.Run("an old event is not taken again", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCache()
		cache.Apply("e", events(hashes))
		cache.Apply("e", []models.CacheEvent{{Sequence: 3, Prefix: hashes[39], Evicted: true}})
		is.Equal(cache.Credit("e", hashes), 640.0)
	})
	t.Run("a hope expires", func(t *testing.T) {
		is := is.New(t)
		cache := placement.NewCache()
		cache.Expect("e", hashes, start)
		is.True(cache.Credit("e", hashes) > 0)
		cache.Expire(start.Add(time.Minute))
		is.Equal(cache.Credit("e", hashes), 0.0)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 100, 600} {
		b.Run("engines="+strconv.Itoa(n)+"/naive", func(b *testing.B) {
			var servers []models.BackendServer
			for _, c := range fleet(n) {
				servers = append(servers, c.Server)
			}
			var turn naive.RoundRobin
			b.ReportAllocs()
			for b.Loop() {
				turn.Choose(servers)
			}
		})
		b.Run("engines="+strconv.Itoa(n)+"/placement", func(b *testing.B) {
			prompt := string(make([]byte, 2000*prefix.BytesPerToken))
			d := &placement.Demand{Model: oak, Prompt: 2000, Output: 50, Hashes: prefix.Hashes(prompt), Repeatable: true}
			cache := placement.NewCache()
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
