package control

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// serverOrderKey is the key of the row with the latest order of backend
// servers.
var serverOrderKey = models.RowKey{Partition: models.PartitionFleet, Name: "order/servers"}

// engineOrderKey returns the key of the row with the latest order to an
// engine.
func engineOrderKey(engine models.EngineID) models.RowKey {
	return models.RowKey{Partition: models.PartitionFleet, Name: "order/engine/" + string(engine)}
}

// orderRecord is the decoded row of an order to an engine.
type orderRecord struct {
	id     string
	window time.Duration
}

// serverOrderRecord is the decoded row of an order of backend servers. Closed
// is set when the outcome is certain, and accepted when the platform accepted
// the order.
type serverOrderRecord struct {
	order    models.ServerOrder
	window   time.Duration
	closed   bool
	accepted bool
}

type orderForm struct {
	ID       string `json:"id"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Role     string `json:"role,omitempty"`
	Model    string `json:"model,omitempty"`
	WindowMS int64  `json:"window-ms"`
}

type serverOrderForm struct {
	ID       string   `json:"id"`
	Fence    uint64   `json:"fence"`
	Zone     string   `json:"zone"`
	Cheap    bool     `json:"cheap"`
	Count    int      `json:"count"`
	GiveBack []string `json:"give-back,omitempty"`
	WindowMS int64    `json:"window-ms"`
	Closed   bool     `json:"closed"`
	Taken    bool     `json:"taken"`
}

func encodeOrder(order models.Order, window time.Duration) ([]byte, error) {
	form := orderForm{
		ID:       order.ID,
		Fence:    order.Fence,
		Kind:     string(order.Kind),
		Role:     string(order.Role),
		Model:    string(order.Model),
		WindowMS: window.Milliseconds(),
	}
	value, err := json.Marshal(form)
	return value, errors.Annotate(err, "cannot encode an order")
}

func decodeOrder(value []byte) (orderRecord, error) {
	var form orderForm
	if err := json.Unmarshal(value, &form); err != nil {
		return orderRecord{}, errors.Annotate(err, "cannot decode a recorded order")
	}
	return orderRecord{id: form.ID, window: time.Duration(form.WindowMS) * time.Millisecond}, nil
}

func encodeServerOrder(record serverOrderRecord) ([]byte, error) {
	form := serverOrderForm{
		ID:       record.order.ID,
		Fence:    record.order.Fence,
		Zone:     string(record.order.Zone),
		Cheap:    record.order.Cheap,
		Count:    record.order.Count,
		GiveBack: record.order.GiveBack,
		WindowMS: record.window.Milliseconds(),
		Closed:   record.closed,
		Taken:    record.accepted,
	}
	value, err := json.Marshal(form)
	return value, errors.Annotate(err, "cannot encode an order of backend servers")
}

func decodeServerOrder(value []byte) (serverOrderRecord, error) {
	var form serverOrderForm
	if err := json.Unmarshal(value, &form); err != nil {
		return serverOrderRecord{}, errors.Annotate(err, "cannot decode a recorded order of backend servers")
	}
	order := models.ServerOrder{
		ID:       form.ID,
		Fence:    form.Fence,
		Zone:     models.Zone(form.Zone),
		Cheap:    form.Cheap,
		Count:    form.Count,
		GiveBack: form.GiveBack,
	}
	return serverOrderRecord{
		order:    order,
		window:   time.Duration(form.WindowMS) * time.Millisecond,
		closed:   form.Closed,
		accepted: form.Taken,
	}, nil
}
