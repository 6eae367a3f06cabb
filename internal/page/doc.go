// Package page replaces the generated part of a Markdown page.
package page
