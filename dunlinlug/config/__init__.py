"""Configuration: INI files with units, a manager's sections, and the settings of the module as
JSON.

Each module is imported by itself: `settings_json` needs the standard library alone.
"""
