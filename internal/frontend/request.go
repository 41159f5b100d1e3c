package frontend

import (
	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// fieldSet is a set of a request's fields, one bit per field.
type fieldSet uint16

const (
	fieldTraceID fieldSet = 1 << iota
	fieldObject
	fieldPart
	fieldGroup
	fieldTimeout
	fieldSize
	fieldVersion
	fieldIdempotencyKey
	fieldTenant

	requiredFields = fieldTraceID | fieldObject | fieldPart | fieldGroup | fieldTimeout
)

// fieldBits maps the names of the fields that are read to their bits. Other fields are skipped.
var fieldBits = map[string]fieldSet{
	wireTraceID:        fieldTraceID,
	wireObject:         fieldObject,
	wirePart:           fieldPart,
	wireGroup:          fieldGroup,
	wireTimeout:        fieldTimeout,
	wireSize:           fieldSize,
	wireVersion:        fieldVersion,
	wireIdempotencyKey: fieldIdempotencyKey,
	wireTenant:         fieldTenant,
}

// readRequest reads and validates the arguments of a request, which follow the method: an array that contains a map of
// fields and, optionally, the body.
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

// readFields reads the map of fields. Each field may appear once, and the required ones must appear.
func (c *connection) readFields(r *msgpack.Reader, request *Request) error {
	var present fieldSet
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
		if present&field != 0 {
			return errDuplicateField
		}
		present |= field
	}
	if r.Err() != nil {
		return errBadField
	}
	if present&requiredFields != requiredFields {
		return errMissingField
	}
	return nil
}

// setField sets one field of a request, and reports whether the value is valid.
func (c *connection) setField(request *Request, field fieldSet, value []byte) (ok bool) {
	switch field {
	case fieldTraceID:
		return parseHexID(&request.TraceID, value)
	case fieldObject:
		return parseHexID(&request.Object, value)
	case fieldPart:
		var part uint64
		part, ok = parseUint(value, maxPart)
		request.Part = int(part)
	case fieldGroup:
		var group uint64
		group, ok = parseUint(value, maxGroup)
		request.Group = routing.GroupID(group)
	case fieldTimeout:
		request.Timeout, ok = parseTimeout(value)
	case fieldSize:
		request.SizeKB, ok = parseDecimal(value)
	case fieldVersion:
		request.CachedVersion = value
		return isForwardable(value)
	case fieldIdempotencyKey:
		request.IdempotencyKey = value
		return isForwardable(value)
	case fieldTenant:
		request.Tenant = c.server.handler.Tenant(value)
		return true
	}
	return ok
}

// readBody reads the body, which may be nil.
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
