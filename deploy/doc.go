// Package deploy contains only tests. They check the build recipes and package lists of the deploy files.
package deploy
