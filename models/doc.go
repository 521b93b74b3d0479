// Package models defines the domain types. They have small helper methods only,
// no struct tags and no I/O. Codecs in the peer packages convert them to and
// from their wire formats.
package models
