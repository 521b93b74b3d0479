package models

// RateLimit limits the requests of a workspace that backend servers run, through all
// daemons together.
type RateLimit struct {
	PerSecond   float64 // requests or tokens a second; 0: no limit
	Burst       float64 // on top of the rate, in the same unit
	Tokens      bool    // the limit counts tokens rather than requests
	PlainTokens float64 // that a request counts as if its caller states no tokens
}

// Amount returns what a request with a prompt counts against the limit. A prompt without
// tokens stands for a request that states none.
func (l RateLimit) Amount(prompt Prompt) float64 {
	if !l.Tokens {
		return 1
	}
	if stated := prompt.Tokens + prompt.MaxOutput; stated > 0 {
		return float64(stated)
	}
	return l.PlainTokens
}

// LimitUse is what one daemon, or the daemons of a zone together, use of the limit of a
// workspace. Amounts are in requests or tokens, as the limit counts.
type LimitUse struct {
	Epoch    uint64  // identifies the counter behind Amount; another one starts anew
	Amount   float64 // admitted so far, less what was returned
	Admitted float64 // per second, of late
	Offered  float64 // per second, of late, refused requests included
	Reserved float64 // part of the limit that is kept for daemons of the zone that are not in touch, 0 to 1
}
