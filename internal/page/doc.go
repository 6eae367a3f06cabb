// Package page replaces the generated section of a Markdown page.
package page
