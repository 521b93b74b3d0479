package table_test

import (
	"bytes"
	"testing"

	"quincewinch/table"
)

// FuzzParse checks that the cells of an accepted row survive encoding and
// parsing.
func FuzzParse(f *testing.F) {
	f.Add("workspace", []byte(`{"weight": 4, "key-freshness": "5s"}`))
	f.Add("workspace", []byte(`{"weight": 1e309}`))
	f.Add("key", []byte(`{"workspace": "sales", "hash": "00", "withdrawn": true}`))
	f.Add("route", []byte(`{"kind": "model", "repeatable": true}`))
	f.Add("fleet", []byte(`{"cheap-share": -1}`))
	f.Add("elsewhere", []byte(`null`))
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		cells, err := table.Parse(table.Kind(kind), raw)
		if err != nil {
			return
		}
		encoded, err := table.Encode(cells)
		if err != nil {
			t.Fatalf("Encode failed on accepted cells: %v", err)
		}
		reparsed, err := table.Parse(table.Kind(kind), encoded)
		if err != nil {
			t.Fatalf("Parse failed on encoded cells: %v", err)
		}
		reencoded, err := table.Encode(reparsed)
		if err != nil || !bytes.Equal(encoded, reencoded) {
			t.Errorf("encoded as %s, after parsing as %s", encoded, reencoded)
		}
	})
}
