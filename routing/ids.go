package routing

import (
	"threadrun/internal/arena"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Identifiers. None means more than the thing that it names.
type (
	// Micros is a time or a duration in whole microseconds.
	Micros = clock.Micros
	// RequestID names a request from Executor.Accepted until Executor.Release.
	RequestID = arena.Handle
	// EndpointID numbers a cache, a parent or the origin from 0. It is reused: see Endpoint.Replaced.
	EndpointID int32
	// ObjectID is a well-mixed hash of an object's name.
	ObjectID uint64
	// GroupID numbers a group of objects that are purged together.
	GroupID int32
	// ClassID is an index in the list of classes.
	ClassID int
	// TenantID is an index in the list of tenants, or NoTenant.
	TenantID int
	// ZoneID is an index in the list of zones.
	ZoneID int32
	// CellID numbers a small group of caches that share the idempotency keys they have seen.
	CellID int32
	// AttemptNumber counts the attempts of one request from 0.
	AttemptNumber int
)

// ObjectKey identifies one part of an object: its cached copies, and its record in the directory of cached objects.
func ObjectKey(object ObjectID, part int) uint64 { return hash.Combine(uint64(object), uint64(part)) }

// Absent identifiers.
const (
	NoEndpoint EndpointID = -1
	NoTenant   TenantID   = -1
)

// Effect says what a repeat of a request would do.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run again
	Keyed                       // carries an idempotency key: its key scope drops a repeat
	NonIdempotent               // must never run twice
)

// KeyScope is the set of caches that drops the repeats of a keyed request.
type KeyScope uint8

// The key scopes.
const (
	KeyScopeFleet KeyScope = iota // all caches
	KeyScopeZone                  // the caches of the zone where it ran
	KeyScopeCell                  // the caches of the cell where it ran
)

// Tier tells caches, parents and the origin apart.
type Tier uint8

// The tiers.
const (
	Edge Tier = iota
	Parent
	Origin
)

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The endpoint states.
const (
	Up       EndpointState = iota
	Draining               // serves what it has begun and takes nothing new
	Removed
)

const (
	ms     = clock.Millisecond
	second = clock.Second
)
