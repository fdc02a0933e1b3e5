package namer

import "github.com/pkg/errors"

// Role is the phase of inference that an engine serves.
type Role string

// The roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// UnmarshalText accepts only the known roles.
func (r *Role) UnmarshalText(text []byte) error {
	switch role := Role(text); role {
	case RoleMixed, RolePrefill, RoleDecode:
		*r = role
		return nil
	}
	return errors.Errorf("unknown role %q; must be %q, %q or %q", text, RoleMixed, RolePrefill, RoleDecode)
}

// CanPrefill reports whether an engine with this role processes prompts.
func (r Role) CanPrefill() bool { return r == RoleMixed || r == RolePrefill }

// CanDecode reports whether an engine with this role generates tokens.
func (r Role) CanDecode() bool { return r == RoleMixed || r == RoleDecode }
