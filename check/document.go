package check

import (
	"crypto/sha256"
	"slices"

	"quincewinch/models"
	policy "quincewinch/policy/limit"
)

// Document is a configuration as it is written, with what models.Routing leaves out.
type Document struct {
	Routing *models.Routing
	// Services and Workspaces are in order, those with the same name included.
	Services   []models.RoutedService
	Workspaces []Workspace
	// Problems were found while the document was decoded.
	Problems []Finding
}

// Workspace is the access of a workspace, and its limit.
type Workspace struct {
	Name  models.Workspace
	Keys  [][sha256.Size]byte // hashes
	Rank  *int                // in place of the route's; nil: none
	Limit models.RateLimit
}

// Configuration returns what is wrong with a configuration, errors first.
func Configuration(d *Document) []Finding {
	if d.Routing == nil {
		return Sorted(d.Problems)
	}
	f := &findings{list: slices.Clone(d.Problems)}
	f.checkLimits(d.Routing.Limits)
	f.checkRoutes(d)
	f.checkServices(d)
	f.checkWorkspaces(d)
	return Sorted(f.list)
}

// checkLimits checks the limits on what callers send.
func (f *findings) checkLimits(limits models.CallerLimits) {
	f.about(KindConfiguration, "")
	f.errorIf(limits.HeaderBytes < 0 || limits.BodyBytes < 0 || limits.HeaderTimeout < 0 || limits.IdleTimeout < 0, "a limit on what callers send is negative")
	f.warnIf(limits.HeaderBytes == 0, "it does not limit the size of a request's header: the settings of the daemons do")
	f.warnIf(limits.BodyBytes == 0, "it does not limit the size of a request's body: the settings of the daemons do")
	f.warnIf(limits.HeaderTimeout > limits.IdleTimeout && limits.IdleTimeout > 0,
		"a header may take %s, longer than the %s for which a connection may be idle", limits.HeaderTimeout, limits.IdleTimeout)
}

// checkWorkspaces checks names and keys.
func (f *findings) checkWorkspaces(d *Document) {
	names := map[models.Workspace]bool{}
	holders := map[[sha256.Size]byte]models.Workspace{}
	empty := sha256.Sum256(nil)
	for _, w := range d.Workspaces {
		f.about(KindWorkspace, string(w.Name))
		f.errorIf(w.Name == "", "it has no name")
		f.errorIf(names[w.Name], "another workspace has the same name")
		f.warnIf(len(w.Keys) == 0, "it has no keys, so that no request can be its own")
		names[w.Name] = true
		f.checkRateLimit(w.Limit)
		f.errorIf(w.Rank != nil && *w.Rank < 0, "the rank is negative")
		for _, key := range w.Keys {
			holder, taken := holders[key]
			f.errorIf(key == empty, "an empty key never matches")
			f.errorIf(taken && holder != w.Name, "workspace %s has one of its keys too", holder)
			f.warnIf(taken && holder == w.Name, "a key is listed twice")
			holders[key] = w.Name
		}
	}
}

// checkRateLimit checks that the parts of a workspace's limit fit together.
func (f *findings) checkRateLimit(limit models.RateLimit) {
	f.errorIf(limit.PerSecond < 0 || limit.Burst < 0 || limit.PlainTokens < 0, "a part of its limit is negative")
	f.warnIf(limit.PerSecond == 0 && limit.Burst > 0, "a burst has no effect: its rate is not limited")
	f.warnIf(!limit.Tokens && limit.PlainTokens > 0, "the tokens of requests that state none have no effect: its limit counts requests")
	if limit.PerSecond <= 0 {
		return
	}
	f.warnIf(limit.Burst == 0, "it has no burst: requests beyond the rate of a moment are refused")
	f.warnIf(limit.Tokens && limit.PlainTokens == 0, "requests that state no tokens are not limited")
	f.errorIf(limit.Tokens && limit.PlainTokens > limit.PerSecond*policy.MaxRequestPeriod.Seconds()+limit.Burst,
		"a request that states no tokens counts as %g, more than the limit ever has room for", limit.PlainTokens)
}
