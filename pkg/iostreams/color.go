package iostreams

// ColorScheme adds terminal colors to text if colors are enabled.
type ColorScheme struct {
	enabled bool
}

// Bold returns text in bold.
func (c *ColorScheme) Bold(text string) string { return c.wrap("1", text) }

// Green returns text in green.
func (c *ColorScheme) Green(text string) string { return c.wrap("32", text) }

// Red returns text in red.
func (c *ColorScheme) Red(text string) string { return c.wrap("31", text) }

// Yellow returns text in yellow.
func (c *ColorScheme) Yellow(text string) string { return c.wrap("33", text) }

func (c *ColorScheme) wrap(code, text string) string {
	if !c.enabled {
		return text
	}
	return "\x1b[" + code + "m" + text + "\x1b[0m"
}
