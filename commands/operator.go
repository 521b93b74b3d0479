package commands

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/peer/operator"
)

// operatorFlags are the flags of commands that call a daemon's operator API.
type operatorFlags struct {
	address   string
	key       string
	authority string
	json      bool
}

func (f *operatorFlags) register(clause *kingpin.CmdClause) {
	clause.Flag("address", "URL of the operators' address of any daemon.").Envar("QUINCEWINCH_ADDRESS").Required().StringVar(&f.address)
	clause.Flag("operator-key", "Operators' key.").Envar("QUINCEWINCH_OPERATOR_KEY").Required().StringVar(&f.key)
	clause.Flag("authority", "PEM file with the authority that issued the daemon's certificate.").Envar("QUINCEWINCH_AUTHORITY").StringVar(&f.authority)
	clause.Flag("json", "Print JSON.").BoolVar(&f.json)
}

func (f *operatorFlags) client() (*operator.Client, error) {
	client := &http.Client{}
	if f.authority != "" {
		pem, err := os.ReadFile(f.authority)
		if err != nil {
			return nil, errors.Annotate(err, "cannot read the certificate authority")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.NotValidf("certificate authority %s (no PEM certificate in the file)", f.authority)
		}
		client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	}
	return operator.NewClient(strings.TrimSuffix(f.address, "/"), f.key, client), nil
}

// call sends a request and prints the answer, as JSON or as a table with the
// given columns.
func (f *operatorFlags) call(env environment, method, path string, query url.Values, version string, body []byte, columns []string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	raw, err := client.Call(env.ctx, method, path, query, version, body)
	if err != nil {
		return withCurrentRow(err)
	}
	if f.json || columns == nil {
		_, err := env.stdout.Write(raw)
		return errors.Trace(err)
	}
	return printColumns(env, raw, columns)
}

// withCurrentRow adds the current row to the error if another edit of the row
// won the race.
func withCurrentRow(err error) error {
	var problem *operator.ResponseError
	if errors.As(err, &problem) && len(problem.CurrentRow) > 0 {
		return errors.New(problem.Message + "; the row now stands as " + string(problem.CurrentRow))
	}
	return err
}

// printColumns prints a JSON array of objects, or a single object, as a table.
func printColumns(env environment, raw json.RawMessage, columns []string) error {
	var rows []map[string]any
	if err := json.Unmarshal(raw, &rows); err != nil {
		var row map[string]any
		if err := json.Unmarshal(raw, &row); err != nil {
			return errors.Annotate(err, "cannot decode the daemon's answer")
		}
		rows = []map[string]any{row}
	}
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, formatCell(row[column]))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return errors.Trace(w.Flush())
}

// formatCell formats a JSON value; an object becomes name=value pairs, sorted by
// name.
func formatCell(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case map[string]any:
		pairs := make([]string, 0, len(v))
		for name, part := range v {
			pairs = append(pairs, name+"="+formatCell(part))
		}
		slices.Sort(pairs)
		return strings.Join(pairs, " ")
	case []any:
		parts := make([]string, 0, len(v))
		for _, part := range v {
			parts = append(parts, formatCell(part))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}
