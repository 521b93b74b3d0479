package models

// Workspace is the name of a workspace: the unit of a customer's limits, keys
// and usage.
type Workspace string

// Zone is the name of an availability zone.
type Zone string

// DaemonID identifies one daemon process. Every start of a process gets a new
// one.
type DaemonID string

// EngineID identifies a model engine on a backend server.
type EngineID string

// ServiceName is the name of a service.
type ServiceName string

// Model is the name of a model, adapter or version that an engine can load.
type Model string

// RequestID identifies one caller's request. Engines use it for resume and
// cancel.
type RequestID string

// Priority orders requests on an engine: higher values run first.
type Priority int
