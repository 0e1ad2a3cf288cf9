package config

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/creasty/defaults"
	"github.com/go-playground/validator/v10"

	"spindlehitch/internal/controlplane/quota"
)

// structValidator has the library's validation rules and those defined here; struct tags name the rules of each field. It is
// built once, at the first use.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml")+f.Tag.Get("json"), ",")
		return name
	})
	for tag, valid := range map[string]func(string) bool{
		"addr":  func(s string) bool { return addrError(s) == nil },
		"nqn":   func(s string) bool { return s != "" && len(s) <= 223 },
		"name":  func(s string) bool { return s != "" && len(s) <= quota.MaxNameBytes },
		"use":   func(s string) bool { return slices.Contains(quota.Resources, quota.Resource(s)) },
		"hex64": func(s string) bool { _, err := strconv.ParseUint(s, 16, 64); return err == nil },
	} {
		must(v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) }))
	}
	for tag, names := range map[string]func(*Config) map[string]bool{"class": (*Config).ClassNames, "plan": (*Config).PlanNames} {
		must(v.RegisterValidationCtx(tag, func(ctx context.Context, f validator.FieldLevel) bool {
			c, _ := ctx.Value(configKey{}).(*Config)
			return c == nil || names(c)[f.Field().String()]
		}))
	}
	v.RegisterStructValidation(func(s validator.StructLevel) {
		if a := s.Current().Interface().(Agent); len(a.Peers) > 0 && a.API() == "" {
			s.ReportError(a.ID, "id", "ID", "peer", "")
		}
	}, Agent{})
	v.RegisterStructValidation(validateFeed, Feed{})
	return v
})

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// configKey is the context key of the configuration that names in an operator's file are checked against.
type configKey struct{}

// ruleMessages are the error texts of the rules, with placeholders for the value and the rule's parameter. They are quoted in the
// operators' pages and sent to clients in response bodies, so their wording must not change.
var ruleMessages = map[string]string{
	"nqn":           "wanted 1 to 223 bytes",
	"name":          "wanted 1 to " + strconv.Itoa(quota.MaxNameBytes) + " bytes",
	"use":           "unknown use {value}",
	"hex64":         "{value} is not a hexadecimal number of 64 bits",
	"class":         "class {value} is not in the settings",
	"plan":          "plan {value} is not in the settings",
	"peer":          "{value} is none of the peers",
	"hexadecimal":   "{value} is not in hexadecimal digits",
	"len":           "wanted {bound} digits",
	"oneof":         "unknown: {value} is none of {bound}",
	"unique":        "{bound} there twice",
	"ltfield":       "{value} is not under probe_ms",
	"gtfield":       "{value} is not over probe_ms",
	"no_region":     "{value} is none of the regions",
	"no_zone":       "{value} is none of the zones of {bound}",
	"two_regions":   "{value} is a zone of {bound} as well",
	"required_with": "required where {bound} is set",
	"gt":            "{value} is not over {bound}",
	"gte":           "{value} is under {bound}",
	"lt":            "{value} is not under {bound}",
	"lte":           "{value} is over {bound}",
	"min":           "at least {bound}",
	"max":           "too many or too long, {bound} at most",
}

// validate sets the defaults of missing fields, and returns an error for each invalid field. Names of classes and plans are only
// checked if cfg is given.
func validate(file any, cfg *Config) error {
	if err := defaults.Set(file); err != nil {
		return err
	}
	err := structValidator().StructCtx(context.WithValue(context.Background(), configKey{}, cfg), file)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return err
	}
	errs := make([]error, len(violations))
	for i, v := range violations {
		_, path, _ := strings.Cut(v.Namespace(), ".")
		switch v.Tag() {
		case "required", "required_without":
			errs[i] = MissingField(path)
		case "addr":
			errs[i] = fmt.Errorf("%s: %w", path, addrError(v.Value().(string)))
		default:
			value := fmt.Sprint(v.Value())
			if v.Kind() == reflect.String {
				value = strconv.Quote(value)
			}
			bound := v.Param()
			if v.Tag() == "unique" || v.Tag() == "required_with" {
				bound = strings.ToLower(bound) // the name of a Go field; the file's is in lower case
			}
			errs[i] = fmt.Errorf("%s: %s", path, strings.NewReplacer("{value}", value, "{bound}", bound).Replace(ruleMessages[v.Tag()]))
		}
	}
	return errors.Join(errs...)
}

// addrError returns why an address is invalid, or nil.
func addrError(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	return nil
}
