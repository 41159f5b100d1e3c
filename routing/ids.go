package routing

import (
	"threadrun/internal/arena"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Identifiers and units.
type (
	// Micros is a time or a duration in microseconds.
	Micros = clock.Micros
	// RequestID identifies a request from Executor.IDAssigned until Executor.Release.
	RequestID = arena.Handle
	// EndpointID identifies a cache, a parent or the origin. Ids count from 0 and are reused: see
	// Endpoint.Replaced.
	EndpointID int32
	// ObjectID is a well-mixed hash of an object's name.
	ObjectID uint64
	// GroupID identifies a group of objects that are purged together.
	GroupID int32
	// ClassID is an index into Config.Classes.
	ClassID int
	// TenantID is an index into Config.Tenants, or NoTenant.
	TenantID int
	// ZoneID is an index into the list of zones.
	ZoneID int32
	// CellID identifies a small group of caches that share the idempotency keys they have received.
	CellID int32
	// AttemptNumber numbers the attempts of one request from 0.
	AttemptNumber int
)

// ObjectKey returns the key of one part of an object, which identifies its cached copies and its record in
// the directory of cached objects.
func ObjectKey(object ObjectID, part int) uint64 { return hash.Combine(uint64(object), uint64(part)) }

// Values for missing identifiers.
const (
	NoEndpoint EndpointID = -1
	NoTenant   TenantID   = -1
)

// Effect says whether a request may run more than once.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run more than once
	Keyed                       // carries an idempotency key, by which caches in its key scope drop a repeat
	NonIdempotent               // must never run twice
)

// KeyScope is the set of caches that recognize and drop repeats of a keyed request.
type KeyScope uint8

// The key scopes.
const (
	KeyScopeFleet KeyScope = iota // all caches
	KeyScopeZone                  // the caches of the zone where it ran
	KeyScopeCell                  // the caches of the cell where it ran
)

// Tier distinguishes caches, parents and the origin.
type Tier uint8

// The tiers.
const (
	Edge Tier = iota
	Parent
	Origin
)

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState uint8

// The endpoint states.
const (
	Up       EndpointState = iota
	Draining               // finishes its requests and accepts no new ones
	Removed
)

const (
	ms     = clock.Millisecond
	second = clock.Second
)
