"""Configuration: INI files with units, a manager's sections, and a module's settings as JSON.

Each module is imported by itself: `settings_json` needs the standard library alone.
"""
