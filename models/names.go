package models

// Workspace names a customer's share of the system.
type Workspace string

// Zone names an availability zone.
type Zone string

// DaemonID names one daemon process. It is new at every start of the process.
type DaemonID string

// EngineID names a model engine on a backend server.
type EngineID string

// ServiceName names a plain service beside the engines.
type ServiceName string

// Model names a model, adapter or version that an engine can load.
type Model string

// RequestID names one caller's request; engines use it for resume and cancel.
type RequestID string

// Priority orders work on an engine: a higher one runs first.
type Priority int
