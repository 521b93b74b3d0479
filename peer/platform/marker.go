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

// withMarker returns a copy of a transaction that also writes its marker row,
// on the condition that this row is at markerRevision; 0 means never written.
func withMarker(transaction models.Transaction, value string, markerRevision models.Revision) models.Transaction {
	key := MarkerKey(transaction.ID)
	conditions := append([]models.Condition{{Key: key, Revision: markerRevision}}, transaction.Conditions...)
	writes := append([]models.Write{{Key: key, Value: []byte(value)}}, transaction.Writes...)
	return models.Transaction{ID: transaction.ID, Basis: transaction.Basis, Conditions: conditions, Writes: writes}
}
