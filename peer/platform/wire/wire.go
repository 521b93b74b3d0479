// Package wire defines the JSON messages of the platform's protocol and
// converts them to and from domain types. The platform's stand-in uses the same
// messages.
package wire

import (
	"net/netip"
	"time"

	"quincewinch/models"
)

// Paths of the platform's HTTP interface.
const (
	PathRead         = "/table/read"
	PathChanges      = "/table/changes"
	PathTransactions = "/table/transactions"
	PathObjects      = "/objects/"
	PathVMs          = "/vms"
	PathServers      = "/servers"
	PathServerOrders = "/server-orders"
	PathUsageReports = "/usage-reports/"
)

// RowKey is the JSON message for models.RowKey.
type RowKey struct {
	Partition string `json:"partition"`
	Name      string `json:"name"`
}

// Row is the JSON message for models.Row.
type Row struct {
	Key      RowKey `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition is the JSON message for models.Condition.
type Condition struct {
	Key      RowKey `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write is the JSON message for models.Write.
type Write struct {
	Key    RowKey `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the JSON message for models.Transaction.
type Transaction struct {
	ID         string      `json:"id"`
	Basis      uint64      `json:"basis,omitempty"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Committed is the response to a transaction.
type Committed struct {
	Revision uint64 `json:"revision"`
}

// ReadRequest requests rows by key.
type ReadRequest struct {
	Keys []RowKey `json:"keys"`
}

// Changes is the response to a read: the rows, and the revision up to which
// they are complete.
type Changes struct {
	Rows         []Row     `json:"rows"`
	Through      uint64    `json:"through"`
	PlatformTime time.Time `json:"platform-time"`
}

// Problem is the body of an unsuccessful response.
type Problem struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// VM is the JSON message for models.VM.
type VM struct {
	Daemon  string         `json:"daemon"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
}

// Server is the JSON message for models.BackendServer.
type Server struct {
	Engine      string `json:"engine"`
	Zone        string `json:"zone"`
	URL         string `json:"url"`
	Cheap       bool   `json:"cheap"`
	ChecksFence bool   `json:"checks-fence"`
	Leaving     bool   `json:"leaving"`
}

// ServerOrder is the JSON message for models.ServerOrder.
type ServerOrder struct {
	ID       string   `json:"id"`
	Fence    uint64   `json:"fence"`
	Zone     string   `json:"zone"`
	Cheap    bool     `json:"cheap"`
	Count    int      `json:"count"`
	GiveBack []string `json:"give-back"`
}

// Usage is the JSON message for models.Usage.
type Usage struct {
	Requests     int64 `json:"requests"`
	Prompt       int64 `json:"prompt-tokens"`
	Cached       int64 `json:"cached-tokens"`
	Output       int64 `json:"output-tokens"`
	ServiceCalls int64 `json:"service-calls"`
}

// Adjustment is the JSON message for models.Adjustment.
type Adjustment struct {
	Window time.Time `json:"window"`
	Usage  Usage     `json:"usage"`
}

// UsageReport is the JSON message for models.UsageReport.
type UsageReport struct {
	ID            string       `json:"id"`
	Fence         uint64       `json:"fence"`
	Workspace     string       `json:"workspace"`
	Window        time.Time    `json:"window"`
	LengthSeconds float64      `json:"length-seconds"`
	Usage         Usage        `json:"usage"`
	Adjustments   []Adjustment `json:"adjustments"`
}

// FromRowKey converts a row key to its JSON message.
func FromRowKey(key models.RowKey) RowKey {
	return RowKey{Partition: string(key.Partition), Name: key.Name}
}

// ToModel converts the message to a key.
func (k RowKey) ToModel() models.RowKey {
	return models.RowKey{Partition: models.Partition(k.Partition), Name: k.Name}
}

// FromRowKeys converts keys to their JSON messages.
func FromRowKeys(keys []models.RowKey) []RowKey {
	messages := make([]RowKey, 0, len(keys))
	for _, key := range keys {
		messages = append(messages, FromRowKey(key))
	}
	return messages
}

// FromRows converts rows to their JSON messages.
func FromRows(rows []models.Row) []Row {
	messages := make([]Row, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, Row{
			Key:      FromRowKey(row.Key),
			Revision: uint64(row.Revision),
			Value:    row.Value,
			Deleted:  row.Deleted,
		})
	}
	return messages
}

// ToRows converts JSON messages to rows.
func ToRows(messages []Row) []models.Row {
	rows := make([]models.Row, 0, len(messages))
	for _, message := range messages {
		rows = append(rows, models.Row{
			Key:      message.Key.ToModel(),
			Revision: models.Revision(message.Revision),
			Value:    message.Value,
			Deleted:  message.Deleted,
		})
	}
	return rows
}

// FromTransaction converts a transaction to its JSON message.
func FromTransaction(transaction models.Transaction) Transaction {
	message := Transaction{ID: transaction.ID, Basis: uint64(transaction.Basis)}
	for _, condition := range transaction.Conditions {
		message.Conditions = append(message.Conditions, Condition{
			Key:      FromRowKey(condition.Key),
			Revision: uint64(condition.Revision),
		})
	}
	for _, write := range transaction.Writes {
		message.Writes = append(message.Writes, Write{
			Key:    FromRowKey(write.Key),
			Value:  write.Value,
			Delete: write.Delete,
		})
	}
	return message
}

// ToModel converts the message to a transaction.
func (t Transaction) ToModel() models.Transaction {
	transaction := models.Transaction{ID: t.ID, Basis: models.Revision(t.Basis)}
	for _, condition := range t.Conditions {
		transaction.Conditions = append(transaction.Conditions, models.Condition{
			Key:      condition.Key.ToModel(),
			Revision: models.Revision(condition.Revision),
		})
	}
	for _, write := range t.Writes {
		transaction.Writes = append(transaction.Writes, models.Write{
			Key:    write.Key.ToModel(),
			Value:  write.Value,
			Delete: write.Delete,
		})
	}
	return transaction
}

// FromVMs converts VMs to their JSON messages.
func FromVMs(vms []models.VM) []VM {
	messages := make([]VM, 0, len(vms))
	for _, vm := range vms {
		messages = append(messages, VM{
			Daemon:  vm.Daemon,
			Zone:    string(vm.Zone),
			Address: vm.Address,
			Leaving: vm.Leaving,
		})
	}
	return messages
}

// ToVMs converts JSON messages to VMs.
func ToVMs(messages []VM) []models.VM {
	vms := make([]models.VM, 0, len(messages))
	for _, message := range messages {
		vms = append(vms, models.VM{
			Daemon:  message.Daemon,
			Zone:    models.Zone(message.Zone),
			Address: message.Address,
			Leaving: message.Leaving,
		})
	}
	return vms
}

// FromServers converts backend servers to their JSON messages.
func FromServers(servers []models.BackendServer) []Server {
	messages := make([]Server, 0, len(servers))
	for _, server := range servers {
		messages = append(messages, Server{
			Engine:      string(server.Engine),
			Zone:        string(server.Zone),
			URL:         server.URL,
			Cheap:       server.Cheap,
			ChecksFence: server.ChecksFence,
			Leaving:     server.Leaving,
		})
	}
	return messages
}

// ToServers converts JSON messages to backend servers.
func ToServers(messages []Server) []models.BackendServer {
	servers := make([]models.BackendServer, 0, len(messages))
	for _, message := range messages {
		servers = append(servers, models.BackendServer{
			Engine:      models.EngineID(message.Engine),
			Zone:        models.Zone(message.Zone),
			URL:         message.URL,
			Cheap:       message.Cheap,
			ChecksFence: message.ChecksFence,
			Leaving:     message.Leaving,
		})
	}
	return servers
}

// FromServerOrder converts an order to its JSON message.
func FromServerOrder(order models.ServerOrder) ServerOrder {
	return ServerOrder{
		ID:       order.ID,
		Fence:    order.Fence,
		Zone:     string(order.Zone),
		Cheap:    order.Cheap,
		Count:    order.Count,
		GiveBack: order.GiveBack,
	}
}

// ToModel converts the message to an order.
func (o ServerOrder) ToModel() models.ServerOrder {
	return models.ServerOrder{
		ID:       o.ID,
		Fence:    o.Fence,
		Zone:     models.Zone(o.Zone),
		Cheap:    o.Cheap,
		Count:    o.Count,
		GiveBack: o.GiveBack,
	}
}

// FromUsage converts usage to its JSON message.
func FromUsage(usage models.Usage) Usage {
	return Usage{
		Requests:     usage.Requests,
		Prompt:       usage.Prompt,
		Cached:       usage.Cached,
		Output:       usage.Output,
		ServiceCalls: usage.ServiceCalls,
	}
}

// ToModel converts the message to usage.
func (u Usage) ToModel() models.Usage {
	return models.Usage{
		Requests:     u.Requests,
		Prompt:       u.Prompt,
		Cached:       u.Cached,
		Output:       u.Output,
		ServiceCalls: u.ServiceCalls,
	}
}

// FromUsageReport converts a report to its JSON message.
func FromUsageReport(report models.UsageReport) UsageReport {
	message := UsageReport{
		ID:            report.ID,
		Fence:         report.Fence,
		Workspace:     string(report.Workspace),
		Window:        report.Window,
		LengthSeconds: report.Length.Seconds(),
		Usage:         FromUsage(report.Usage),
	}
	for _, adjustment := range report.Adjustments {
		message.Adjustments = append(message.Adjustments, Adjustment{
			Window: adjustment.Window,
			Usage:  FromUsage(adjustment.Usage),
		})
	}
	return message
}

// ToModel converts the message to a report.
func (r UsageReport) ToModel() models.UsageReport {
	report := models.UsageReport{
		ID:        r.ID,
		Fence:     r.Fence,
		Workspace: models.Workspace(r.Workspace),
		Window:    r.Window,
		Length:    time.Duration(r.LengthSeconds * float64(time.Second)),
		Usage:     r.Usage.ToModel(),
	}
	for _, adjustment := range r.Adjustments {
		report.Adjustments = append(report.Adjustments, models.Adjustment{
			Window: adjustment.Window,
			Usage:  adjustment.Usage.ToModel(),
		})
	}
	return report
}
