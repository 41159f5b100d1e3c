package frontend

import (
	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// fieldSet is a set of a request's fields, one bit per field.
type fieldSet uint16

const (
	hasTraceID fieldSet = 1 << iota
	hasObject
	hasPart
	hasGroup
	hasTimeout
	hasSize
	hasVersion
	hasIdempotencyKey
	hasTenant

	requiredFields = hasTraceID | hasObject | hasPart | hasGroup | hasTimeout
)

// fieldBits lists the fields that are read; others are skipped.
var fieldBits = map[string]fieldSet{
	wireTraceID:        hasTraceID,
	wireObject:         hasObject,
	wirePart:           hasPart,
	wireGroup:          hasGroup,
	wireTimeout:        hasTimeout,
	wireSize:           hasSize,
	wireVersion:        hasVersion,
	wireIdempotencyKey: hasIdempotencyKey,
	wireTenant:         hasTenant,
}

// readRequest reads and validates a request: its method, an array of its fields, and its body.
func (c *connection) readRequest(r *msgpack.Reader, method []byte, request *Request) error {
	class, known := c.server.handler.Class(method)
	if !known {
		return errUnknownMethod
	}
	request.Class = class
	request.Tenant = routing.NoTenant
	arguments := r.Array()
	if r.Err() != nil || arguments < 1 {
		return errMissingField
	}
	if err := c.readFields(r, request); err != nil {
		return err
	}
	if arguments == 1 {
		return nil
	}
	return readBody(r, request)
}

func (c *connection) readFields(r *msgpack.Reader, request *Request) error {
	var seen fieldSet
	for pairs := r.Map(); pairs > 0; pairs-- {
		key := r.Bytes()
		if r.Err() != nil {
			return errBadField
		}
		field := fieldBits[string(key)]
		if field == 0 {
			r.Skip()
			continue
		}
		if kind := r.Peek(); kind != msgpack.Str && kind != msgpack.Bin {
			return errBadField
		}
		if !c.setField(request, field, r.Bytes()) {
			return errBadField
		}
		if seen&field != 0 {
			return errDuplicateField
		}
		seen |= field
	}
	if r.Err() != nil {
		return errBadField
	}
	if seen&requiredFields != requiredFields {
		return errMissingField
	}
	return nil
}

// setField sets one field, and reports whether the value is valid.
func (c *connection) setField(request *Request, field fieldSet, value []byte) (ok bool) {
	switch field {
	case hasTraceID:
		return parseHexID(&request.TraceID, value)
	case hasObject:
		return parseHexID(&request.Object, value)
	case hasPart:
		var part uint64
		part, ok = parseUint(value, maxPart)
		request.Part = int(part)
	case hasGroup:
		var group uint64
		group, ok = parseUint(value, maxGroup)
		request.Group = routing.GroupID(group)
	case hasTimeout:
		request.Timeout, ok = parseTimeout(value)
	case hasSize:
		request.SizeKB, ok = parseDecimal(value)
	case hasVersion:
		request.CachedVersion = value
		return isTag(value)
	case hasIdempotencyKey:
		request.IdempotencyKey = value
		return isTag(value)
	case hasTenant:
		request.Tenant = c.server.handler.Tenant(value)
		return true
	}
	return ok
}

func readBody(r *msgpack.Reader, request *Request) error {
	if r.Peek() == msgpack.Nil {
		return nil
	}
	request.Body = r.Bytes()
	if r.Err() != nil {
		return errBadBody
	}
	if len(request.Body) > maxBody {
		return errBodyTooLarge
	}
	return nil
}
