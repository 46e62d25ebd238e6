// Package survey holds the questionnaire for teams and generates their declarations from the answers.
package survey
