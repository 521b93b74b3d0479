// Package models holds the plain data of the system: no behaviour beyond
// small helpers, no tags, no input or output. Codecs in the peer packages map
// these types to their wire forms by hand.
package models
