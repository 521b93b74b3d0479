package platform

import (
	"quincewinch/models"
)

// Values of a marker row.
const (
	markerCommitted = "committed"
	markerCancelled = "cancelled"
)

// MarkerKey returns the key of a transaction's marker row.
func MarkerKey(id string) models.RowKey {
	return models.RowKey{Partition: models.PartitionMarkers, Name: id}
}

// withMarker adds a marker to a copy of a transaction, on the condition that
// the marker's row is at the base revision; zero: never written.
func withMarker(transaction models.Transaction, value string, base models.Revision) models.Transaction {
	key := MarkerKey(transaction.ID)
	conditions := append([]models.Condition{{Key: key, Revision: base}}, transaction.Conditions...)
	writes := append([]models.Write{{Key: key, Value: []byte(value)}}, transaction.Writes...)
	return models.Transaction{ID: transaction.ID, Conditions: conditions, Writes: writes}
}
