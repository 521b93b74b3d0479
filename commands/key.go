package commands

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

// keyGiveCommand creates a key for a workspace.
type keyGiveCommand struct {
	flags     operatorFlags
	workspace string
}

func registerKeyGive(app *kingpin.Application) (string, command) {
	c := &keyGiveCommand{}
	clause := app.GetCommand("key").Command("give", "Create a key for a workspace; it is shown only once.")
	c.flags.register(clause)
	clause.Arg("workspace", "The workspace's name.").Required().StringVar(&c.workspace)
	return clause.FullCommand(), c
}

func (c *keyGiveCommand) run(env environment) error {
	body, err := json.Marshal(map[string]string{"workspace": c.workspace})
	if err != nil {
		return errors.Trace(err)
	}
	return c.flags.call(env, http.MethodPost, "/keys", nil, "", body, []string{"id", "key", "workspace"})
}

// keyWithdrawCommand withdraws a key.
type keyWithdrawCommand struct {
	flags operatorFlags
	id    string
}

func registerKeyWithdraw(app *kingpin.Application) (string, command) {
	c := &keyWithdrawCommand{}
	clause := app.GetCommand("key").Command("withdraw", "Withdraw a key, and show which daemons have confirmed the withdrawal.")
	c.flags.register(clause)
	clause.Arg("id", "The key's ID, not the key itself.").Required().StringVar(&c.id)
	return clause.FullCommand(), c
}

func (c *keyWithdrawCommand) run(env environment) error {
	columns := []string{"key", "version", "in-force", "pending", "stops-within"}
	return c.flags.call(env, http.MethodDelete, "/keys/"+url.PathEscape(c.id), nil, "", nil, columns)
}

// keyListCommand lists keys by ID, with their hashes.
type keyListCommand struct {
	flags operatorFlags
}

func registerKeyList(app *kingpin.Application) (string, command) {
	c := &keyListCommand{}
	clause := app.GetCommand("key").Command("list", "List the keys' IDs.")
	c.flags.register(clause)
	return clause.FullCommand(), c
}

func (c *keyListCommand) run(env environment) error {
	return c.flags.call(env, http.MethodGet, "/table/key", nil, "", nil, []string{"name", "version", "cells"})
}
