package table_test

import (
	"bytes"
	"testing"

	"quincewinch/table"
)

// FuzzParse checks that the cells of a row that is accepted are written and
// read back as they are.
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
		written, err := table.Encode(cells)
		if err != nil {
			t.Fatalf("accepted cells cannot be written: %v", err)
		}
		again, err := table.Parse(table.Kind(kind), written)
		if err != nil {
			t.Fatalf("written cells cannot be read: %v", err)
		}
		rewritten, err := table.Encode(again)
		if err != nil || !bytes.Equal(written, rewritten) {
			t.Errorf("%s became %s", written, rewritten)
		}
	})
}
