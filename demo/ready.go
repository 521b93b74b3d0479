package demo

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"
)

type readyJSON struct {
	Callers     []string        `json:"callers"`
	Operators   []string        `json:"operators"`
	Metrics     []string        `json:"metrics"`
	OperatorKey string          `json:"operator-key"`
	Workspaces  []workspaceJSON `json:"workspaces"`
	Engines     []string        `json:"engines"`
	Services    []serviceJSON   `json:"services"`
	Authority   string          `json:"certificate-authority,omitempty"`
}

type workspaceJSON struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

type serviceJSON struct {
	Name       string `json:"name"`
	URL        string `json:"url"`
	Repeatable bool   `json:"repeatable"`
	Open       bool   `json:"open"`
}

const readyFileMode = 0o600

// WriteFile writes r as JSON. The file is replaced atomically.
func (r Ready) WriteFile(path string) error {
	form := readyJSON{
		Callers:     r.Callers,
		Operators:   r.Operators,
		Metrics:     r.Metrics,
		OperatorKey: r.OperatorKey,
		Engines:     r.Engines,
		Authority:   r.Authority,
	}
	for _, workspace := range r.Workspaces {
		form.Workspaces = append(form.Workspaces, workspaceJSON(workspace))
	}
	for _, service := range r.Services {
		form.Services = append(form.Services, serviceJSON(service))
	}
	raw, err := json.MarshalIndent(form, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, append(raw, '\n'), readyFileMode); err != nil {
		return errors.Annotate(err, "cannot write the ready file")
	}
	return errors.Trace(os.Rename(partial, path))
}
