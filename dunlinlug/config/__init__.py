"""Configuration: INI files with units, a manager's sections, and decision settings as JSON.

Import the modules directly, not from this package: `settings_json` depends only on the standard
library and the decision module.
"""
