// Package wire holds the JSON forms of the platform's protocol and maps them
// to domain types by hand. The platform's stand-in speaks the same forms.
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

// RowKey is the form of models.RowKey.
type RowKey struct {
	Partition string `json:"partition"`
	Name      string `json:"name"`
}

// Row is the form of models.Row.
type Row struct {
	Key      RowKey `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition is the form of models.Condition.
type Condition struct {
	Key      RowKey `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write is the form of models.Write.
type Write struct {
	Key    RowKey `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the form of models.Transaction.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Committed answers a transaction.
type Committed struct {
	Revision uint64 `json:"revision"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []RowKey `json:"keys"`
}

// Changes answers reads: rows, and how far they are complete.
type Changes struct {
	Rows         []Row     `json:"rows"`
	Through      uint64    `json:"through"`
	PlatformTime time.Time `json:"platform-time"`
}

// Problem is the body of an answer that is no success.
type Problem struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// VM is the form of models.VM.
type VM struct {
	Daemon  string         `json:"daemon"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
}

// Server is the form of models.BackendServer.
type Server struct {
	Engine      string `json:"engine"`
	Zone        string `json:"zone"`
	URL         string `json:"url"`
	Cheap       bool   `json:"cheap"`
	ChecksFence bool   `json:"checks-fence"`
	Leaving     bool   `json:"leaving"`
}

// ServerOrder is the form of models.ServerOrder.
type ServerOrder struct {
	ID       string   `json:"id"`
	Fence    uint64   `json:"fence"`
	Zone     string   `json:"zone"`
	Cheap    bool     `json:"cheap"`
	Count    int      `json:"count"`
	GiveBack []string `json:"give-back"`
}

// Usage is the form of models.Usage.
type Usage struct {
	Requests     int64 `json:"requests"`
	Prompt       int64 `json:"prompt-tokens"`
	Cached       int64 `json:"cached-tokens"`
	Output       int64 `json:"output-tokens"`
	ServiceCalls int64 `json:"service-calls"`
}

// Adjustment is the form of models.Adjustment.
type Adjustment struct {
	Window time.Time `json:"window"`
	Usage  Usage     `json:"usage"`
}

// UsageReport is the form of models.UsageReport.
type UsageReport struct {
	ID            string       `json:"id"`
	Fence         uint64       `json:"fence"`
	Workspace     string       `json:"workspace"`
	Window        time.Time    `json:"window"`
	LengthSeconds float64      `json:"length-seconds"`
	Usage         Usage        `json:"usage"`
	Adjustments   []Adjustment `json:"adjustments"`
}

// FromKey maps a key to its form.
func FromKey(key models.RowKey) RowKey {
	return RowKey{Partition: string(key.Partition), Name: key.Name}
}

// Model maps the form to a key.
func (k RowKey) Model() models.RowKey {
	return models.RowKey{Partition: models.Partition(k.Partition), Name: k.Name}
}

// FromKeys maps keys to their forms.
func FromKeys(keys []models.RowKey) []RowKey {
	forms := make([]RowKey, 0, len(keys))
	for _, key := range keys {
		forms = append(forms, FromKey(key))
	}
	return forms
}

// FromRows maps rows to their forms.
func FromRows(rows []models.Row) []Row {
	forms := make([]Row, 0, len(rows))
	for _, row := range rows {
		forms = append(forms, Row{
			Key:      FromKey(row.Key),
			Revision: uint64(row.Revision),
			Value:    row.Value,
			Deleted:  row.Deleted,
		})
	}
	return forms
}

// ToRows maps forms to rows.
func ToRows(forms []Row) []models.Row {
	rows := make([]models.Row, 0, len(forms))
	for _, form := range forms {
		rows = append(rows, models.Row{
			Key:      form.Key.Model(),
			Revision: models.Revision(form.Revision),
			Value:    form.Value,
			Deleted:  form.Deleted,
		})
	}
	return rows
}

// FromTransaction maps a transaction to its form.
func FromTransaction(transaction models.Transaction) Transaction {
	form := Transaction{ID: transaction.ID}
	for _, condition := range transaction.Conditions {
		form.Conditions = append(form.Conditions, Condition{
			Key:      FromKey(condition.Key),
			Revision: uint64(condition.Revision),
		})
	}
	for _, write := range transaction.Writes {
		form.Writes = append(form.Writes, Write{
			Key:    FromKey(write.Key),
			Value:  write.Value,
			Delete: write.Delete,
		})
	}
	return form
}

// Model maps the form to a transaction.
func (t Transaction) Model() models.Transaction {
	transaction := models.Transaction{ID: t.ID}
	for _, condition := range t.Conditions {
		transaction.Conditions = append(transaction.Conditions, models.Condition{
			Key:      condition.Key.Model(),
			Revision: models.Revision(condition.Revision),
		})
	}
	for _, write := range t.Writes {
		transaction.Writes = append(transaction.Writes, models.Write{
			Key:    write.Key.Model(),
			Value:  write.Value,
			Delete: write.Delete,
		})
	}
	return transaction
}

// FromVMs maps VMs to their forms.
func FromVMs(vms []models.VM) []VM {
	forms := make([]VM, 0, len(vms))
	for _, vm := range vms {
		forms = append(forms, VM{
			Daemon:  vm.Daemon,
			Zone:    string(vm.Zone),
			Address: vm.Address,
			Leaving: vm.Leaving,
		})
	}
	return forms
}

// ToVMs maps forms to VMs.
func ToVMs(forms []VM) []models.VM {
	vms := make([]models.VM, 0, len(forms))
	for _, form := range forms {
		vms = append(vms, models.VM{
			Daemon:  form.Daemon,
			Zone:    models.Zone(form.Zone),
			Address: form.Address,
			Leaving: form.Leaving,
		})
	}
	return vms
}

// FromServers maps backend servers to their forms.
func FromServers(servers []models.BackendServer) []Server {
	forms := make([]Server, 0, len(servers))
	for _, server := range servers {
		forms = append(forms, Server{
			Engine:      string(server.Engine),
			Zone:        string(server.Zone),
			URL:         server.URL,
			Cheap:       server.Cheap,
			ChecksFence: server.ChecksFence,
			Leaving:     server.Leaving,
		})
	}
	return forms
}

// ToServers maps forms to backend servers.
func ToServers(forms []Server) []models.BackendServer {
	servers := make([]models.BackendServer, 0, len(forms))
	for _, form := range forms {
		servers = append(servers, models.BackendServer{
			Engine:      models.EngineID(form.Engine),
			Zone:        models.Zone(form.Zone),
			URL:         form.URL,
			Cheap:       form.Cheap,
			ChecksFence: form.ChecksFence,
			Leaving:     form.Leaving,
		})
	}
	return servers
}

// FromServerOrder maps an order to its form.
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

// Model maps the form to an order.
func (o ServerOrder) Model() models.ServerOrder {
	return models.ServerOrder{
		ID:       o.ID,
		Fence:    o.Fence,
		Zone:     models.Zone(o.Zone),
		Cheap:    o.Cheap,
		Count:    o.Count,
		GiveBack: o.GiveBack,
	}
}

// FromUsage maps usage to its form.
func FromUsage(usage models.Usage) Usage {
	return Usage{
		Requests:     usage.Requests,
		Prompt:       usage.Prompt,
		Cached:       usage.Cached,
		Output:       usage.Output,
		ServiceCalls: usage.ServiceCalls,
	}
}

// Model maps the form to usage.
func (u Usage) Model() models.Usage {
	return models.Usage{
		Requests:     u.Requests,
		Prompt:       u.Prompt,
		Cached:       u.Cached,
		Output:       u.Output,
		ServiceCalls: u.ServiceCalls,
	}
}

// FromUsageReport maps a report to its form.
func FromUsageReport(report models.UsageReport) UsageReport {
	form := UsageReport{
		ID:            report.ID,
		Fence:         report.Fence,
		Workspace:     string(report.Workspace),
		Window:        report.Window,
		LengthSeconds: report.Length.Seconds(),
		Usage:         FromUsage(report.Usage),
	}
	for _, adjustment := range report.Adjustments {
		form.Adjustments = append(form.Adjustments, Adjustment{
			Window: adjustment.Window,
			Usage:  FromUsage(adjustment.Usage),
		})
	}
	return form
}

// Model maps the form to a report.
func (r UsageReport) Model() models.UsageReport {
	report := models.UsageReport{
		ID:        r.ID,
		Fence:     r.Fence,
		Workspace: models.Workspace(r.Workspace),
		Window:    r.Window,
		Length:    time.Duration(r.LengthSeconds * float64(time.Second)),
		Usage:     r.Usage.Model(),
	}
	for _, adjustment := range r.Adjustments {
		report.Adjustments = append(report.Adjustments, models.Adjustment{
			Window: adjustment.Window,
			Usage:  adjustment.Usage.Model(),
		})
	}
	return report
}
