package models

import "net/netip"

// LoadShare is what a daemon tells the others about its requests at backend
// servers, or the sum of what the daemons of a zone tell.
type LoadShare struct {
	From     DaemonID
	Zone     Zone
	Address  netip.AddrPort // where the sender listens for shares
	Sequence uint64         // grows with each share of one process
	Leaving  bool           // the sender is about to stop
	Loads    map[EngineID]ServerLoad
	Prompts  []SentPrompt // since the previous share
	Relayed  []LoadShare  // sums of other zones, which the sender passes on in its own
}

// Peer is where another daemon listens.
type Peer struct {
	Address netip.AddrPort
	Zone    Zone
}

// ServerLoad is what a daemon has under way at one backend server.
type ServerLoad struct {
	Running       int // requests that have not ended
	PrefillTokens int // prompt tokens that have not been read
}

// SentPrompt is a prompt whose parts a backend server keeps from now on.
type SentPrompt struct {
	Server EngineID
	Parts  []PromptPart
}
