package commands

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
)

const defaultEventLimit = "100"

// timelineCommand prints the events of all daemons in causal order.
type timelineCommand struct {
	flags  operatorFlags
	limit  int
	filter map[string]*string
}

func registerTimeline(app *kingpin.Application) (string, command) {
	c := &timelineCommand{filter: map[string]*string{}}
	clause := app.Command("timeline", "Print the events of all daemons in causal order.")
	c.flags.register(clause)
	clause.Flag("limit", "Print at most this many events, the latest ones.").Default(defaultEventLimit).IntVar(&c.limit)
	for _, name := range []string{"request", "engine", "workspace", "lease", "kind"} {
		c.filter[name] = clause.Flag(name, "Only events of this "+name+".").String()
	}
	return clause.FullCommand(), c
}

func (c *timelineCommand) run(env environment) error {
	query := url.Values{"limit": {strconv.Itoa(c.limit)}}
	for name, value := range c.filter {
		if *value != "" {
			query.Set(name, *value)
		}
	}
	columns := []string{"at", "daemon", "kind", "request", "engine", "workspace", "lease", "what", "why"}
	return c.flags.call(env, http.MethodGet, "/timeline", query, "", nil, columns)
}
