package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/alecthomas/kong"
)

// mappers returns an option that reads numbers and durations as kong does but
// notes a value that cannot be read and goes on, so that later faults are
// found too.
func (c *collector) mappers() kong.Option {
	c.failed = make(map[string]bool)
	defaults := kong.NewRegistry().RegisterDefaults()
	options := []kong.Option{}
	for _, sample := range []any{int(0), int64(0), uint(0), uint64(0), float64(0), false} {
		t := reflect.TypeOf(sample)
		options = append(options, kong.KindMapper(t.Kind(), c.collect(defaults.ForType(t))))
	}
	duration := reflect.TypeFor[time.Duration]()
	options = append(options, kong.TypeMapper(duration, c.collect(defaults.ForType(duration))))
	return kong.OptionFunc(func(k *kong.Kong) error {
		for _, option := range options {
			if err := option.Apply(k); err != nil {
				return err
			}
		}
		return nil
	})
}

// collect wraps a mapper.
func (c *collector) collect(inner kong.Mapper) kong.Mapper {
	decode := kong.MapperFunc(func(ctx *kong.DecodeContext, target reflect.Value) error {
		if err := inner.Decode(ctx, target); err != nil {
			c.failed[ctx.Value.Name] = true
			c.messages = append(c.messages, fmt.Sprintf("--%s: %v", ctx.Value.Name, err))
		}
		return nil
	})
	if isBool, ok := inner.(kong.BoolMapper); ok {
		return boolMapper{Mapper: decode, inner: isBool}
	}
	return decode
}

// boolMapper keeps a flag without a value possible.
type boolMapper struct {
	kong.Mapper
	inner kong.BoolMapper
}

// IsBool reports whether the flag may stand without a value.
func (b boolMapper) IsBool() bool { return b.inner.IsBool() }
